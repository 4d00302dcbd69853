package weldhitch.bench;

import com.github.luben.zstd.Zstd;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.Random;
import org.agrona.ExpandableDirectByteBuffer;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.TearDown;
import weldhitch.capture.sbe.ArrivalEncoder;
import weldhitch.capture.sbe.AttemptEndedEncoder;
import weldhitch.capture.sbe.MessageHeaderEncoder;

/**
 * Measures the time to encode the two records of a request (its arrival and the end of its attempt) in SBE, Avro or
 * Protocol Buffers. The records are appended to a buffer that is emptied once it holds 256 KiB. At the end, it prints
 * the mean encoded size of a request in bytes, uncompressed and compressed by zstd.
 *
 * <p>Avro and Protocol Buffers work on a schema or descriptor built at run time, without generated classes. This is
 * slower than generated classes, but the encoded size is the same.
 */
public class CaptureEncodingBenchmark extends AverageTimeBenchmark {
    private static final int BLOCK_BYTES = 256 << 10;
    private static final String[] ARRIVAL_FIELDS = {
        "since", "request", "requestClass", "tenant", "method", "deadlineAfter", "cost", "target"
    };
    private static final String[] ENDED_FIELDS = {"since", "request", "attempt", "server", "outcome", "latency"};

    @Param({"sbe", "avro", "protobuf"})
    private String form;

    private final Random random = new Random(1);
    private RecordEncoding encoding;
    private long requestCount;

    /**
     * Encodes both records of a request in one format. The record of an attempt's end follows that of the request's
     * arrival. Not thread-safe.
     */
    private interface RecordEncoding {
        void writeArrival(long sinceNanos, long request, int requestClass, long deadlineAfter, String target)
                throws Exception;

        void writeAttemptEnded(long sinceNanos, long request, int server, int outcome, long latency) throws Exception;

        /** Returns the content of the buffer and empties the buffer. */
        byte[] drain() throws Exception;

        int length() throws Exception;
    }

    /** Encodes in Simple Binary Encoding (SBE), with the encoders that captures use. */
    private static final class SbeEncoding implements RecordEncoding {
        private final ExpandableDirectByteBuffer buffer = new ExpandableDirectByteBuffer(2 * BLOCK_BYTES);
        private final MessageHeaderEncoder header = new MessageHeaderEncoder();
        private final ArrivalEncoder arrivalEncoder = new ArrivalEncoder();
        private final AttemptEndedEncoder endedEncoder = new AttemptEndedEncoder();
        private int offset;

        @Override
        public void writeArrival(long sinceNanos, long request, int requestClass, long deadlineAfter, String target) {
            arrivalEncoder.wrapAndApplyHeader(buffer, offset, header);
            arrivalEncoder
                    .since((int) sinceNanos)
                    .request(request)
                    .requestClass(requestClass)
                    .tenant(ArrivalEncoder.tenantNullValue())
                    .method(1)
                    .deadlineAfter(deadlineAfter)
                    .cost(0)
                    .hasTarget((short) 1)
                    .target(target);
            offset = arrivalEncoder.limit();
        }

        @Override
        public void writeAttemptEnded(long sinceNanos, long request, int server, int outcome, long latency) {
            endedEncoder.wrapAndApplyHeader(buffer, offset, header);
            endedEncoder
                    .since((int) sinceNanos)
                    .request(request)
                    .attempt(0)
                    .server(server)
                    .outcome((short) outcome)
                    .latency(latency)
                    .loadCount(0);
            offset = endedEncoder.limit();
        }

        @Override
        public byte[] drain() {
            byte[] encoded = new byte[offset];
            buffer.getBytes(0, encoded);
            offset = 0;
            return encoded;
        }

        @Override
        public int length() {
            return offset;
        }
    }

    /** Encodes in Avro, with generic records. */
    private static final class AvroEncoding implements RecordEncoding {
        private final ByteArrayOutputStream out = new ByteArrayOutputStream(2 * BLOCK_BYTES);
        private final BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
        private final GenericData.Record arrivalRecord =
                new GenericData.Record(schema("Arrival", ARRIVAL_FIELDS, "target"));
        private final GenericData.Record endedRecord = new GenericData.Record(schema("Ended", ENDED_FIELDS, ""));
        private final GenericDatumWriter<GenericData.Record> arrivalWriter =
                new GenericDatumWriter<>(arrivalRecord.getSchema());
        private final GenericDatumWriter<GenericData.Record> endedWriter =
                new GenericDatumWriter<>(endedRecord.getSchema());

        private static Schema schema(String name, String[] fields, String stringField) {
            SchemaBuilder.FieldAssembler<Schema> assembler =
                    SchemaBuilder.record(name).fields();
            for (String field : fields) {
                assembler = field.equals(stringField)
                        ? assembler.requiredString(field)
                        : field.equals("cost") ? assembler.requiredDouble(field) : assembler.requiredLong(field);
            }
            return assembler.endRecord();
        }

        @Override
        public void writeArrival(long sinceNanos, long request, int requestClass, long deadlineAfter, String target)
                throws Exception {
            fill(arrivalRecord, sinceNanos, request, (long) requestClass, 65_535L, 1L, deadlineAfter, 0.0, target);
            arrivalWriter.write(arrivalRecord, encoder);
        }

        @Override
        public void writeAttemptEnded(long sinceNanos, long request, int server, int outcome, long latency)
                throws Exception {
            fill(endedRecord, sinceNanos, request, 0L, (long) server, (long) outcome, latency);
            endedWriter.write(endedRecord, encoder);
        }

        private static void fill(GenericData.Record record, Object... values) {
            for (int i = 0; i < values.length; i++) {
                record.put(i, values[i]);
            }
        }

        @Override
        public byte[] drain() {
            byte[] encoded = out.toByteArray();
            out.reset();
            return encoded;
        }

        @Override
        public int length() {
            return out.size();
        }
    }

    /** Encodes in Protocol Buffers, with dynamic messages. */
    private static final class ProtobufEncoding implements RecordEncoding {
        private final byte[] buffer = new byte[2 * BLOCK_BYTES];
        private CodedOutputStream out = CodedOutputStream.newInstance(buffer);
        private final Descriptor arrivalType;
        private final Descriptor endedType;

        ProtobufEncoding() throws Exception {
            FileDescriptor fileDescriptor = FileDescriptor.buildFrom(
                    FileDescriptorProto.newBuilder()
                            .setName("records")
                            .setSyntax("proto3")
                            .addMessageType(messageType("Arrival", ARRIVAL_FIELDS))
                            .addMessageType(messageType("Ended", ENDED_FIELDS))
                            .build(),
                    new FileDescriptor[0]);
            arrivalType = fileDescriptor.findMessageTypeByName("Arrival");
            endedType = fileDescriptor.findMessageTypeByName("Ended");
        }

        private static DescriptorProto messageType(String name, String[] fields) {
            DescriptorProto.Builder builder = DescriptorProto.newBuilder().setName(name);
            for (int i = 0; i < fields.length; i++) {
                Type type = switch (fields[i]) {
                    case "target" -> Type.TYPE_STRING;
                    case "cost" -> Type.TYPE_DOUBLE;
                    case "request" -> Type.TYPE_FIXED64;
                    default -> Type.TYPE_INT64;
                };
                builder.addField(FieldDescriptorProto.newBuilder()
                        .setName(fields[i])
                        .setNumber(i + 1)
                        .setType(type)
                        .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL));
            }
            return builder.build();
        }

        private void write(Descriptor type, Object... values) throws Exception {
            DynamicMessage.Builder builder = DynamicMessage.newBuilder(type);
            for (int i = 0; i < values.length; i++) {
                builder.setField(type.getFields().get(i), values[i]);
            }
            out.writeMessageNoTag(builder.build());
        }

        @Override
        public void writeArrival(long sinceNanos, long request, int requestClass, long deadlineAfter, String target)
                throws Exception {
            write(arrivalType, sinceNanos, request, (long) requestClass, 0L, 1L, deadlineAfter, 0.0, target);
        }

        @Override
        public void writeAttemptEnded(long sinceNanos, long request, int server, int outcome, long latency)
                throws Exception {
            write(endedType, sinceNanos, request, 0L, (long) server, (long) outcome, latency);
        }

        @Override
        public byte[] drain() {
            byte[] encoded = Arrays.copyOf(buffer, length());
            out = CodedOutputStream.newInstance(buffer);
            return encoded;
        }

        @Override
        public int length() {
            return out.getTotalBytesWritten();
        }
    }

    /** Creates the encoding under test. */
    @Setup
    public void createEncoding() throws Exception {
        encoding = switch (form) {
            case "sbe" -> new SbeEncoding();
            case "avro" -> new AvroEncoding();
            default -> new ProtobufEncoding();
        };
    }

    /** Encodes one request with a random request ID, and random times, servers and latencies in realistic ranges. */
    @Benchmark
    public Object request() throws Exception {
        if (encoding.length() >= BLOCK_BYTES) {
            encoding.drain();
        }
        writeRequest();
        return encoding;
    }

    private void writeRequest() throws Exception {
        long requestId = random.nextLong();
        requestCount++;
        encoding.writeArrival(
                50_000 + random.nextInt(4_000_000),
                requestId,
                random.nextInt(4),
                1_500_000_000L - random.nextInt(1_000_000),
                "/view-slots");
        encoding.writeAttemptEnded(
                50_000 + random.nextInt(4_000_000),
                requestId,
                random.nextInt(15),
                0,
                20_000_000L + random.nextInt(200_000_000));
    }

    /** Fills one buffer and prints the mean size of a request in bytes, uncompressed and compressed. */
    @TearDown
    public void printSizes() throws Exception {
        encoding.drain();
        int requests = 0;
        while (encoding.length() < BLOCK_BYTES) {
            writeRequest();
            requests++;
        }
        byte[] block = encoding.drain();
        System.out.printf(
                "%s: %.1f bytes a request, %.1f under zstd%n",
                form, (double) block.length / requests, (double) Zstd.compress(block, 3).length / requests);
    }
}
