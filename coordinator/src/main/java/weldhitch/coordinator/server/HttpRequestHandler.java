package weldhitch.coordinator.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import weldhitch.fleet.activation.MemberHeartbeat;
import weldhitch.fleet.activation.MemberRequest;
import weldhitch.fleet.error.FleetError;

/**
 * Handles the HTTP requests of members, peers and operators on one connection. Requests that need the coordinator's
 * state are passed to the {@link CoordinatorLoop}. Runs on the connection's event loop; responses may be written from
 * any thread.
 */
final class HttpRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String PEER_PATH = "/v1/peer";
    private static final String MEMBER_PATH = "/v1/member";
    private static final String STATE_PATH = "/v1/state";
    private static final String BUNDLE_PATH_PREFIX = "/v1/bundle/";
    private static final Pattern BUNDLE_PATH = Pattern.compile(BUNDLE_PATH_PREFIX + "[0-9]{1,18}");
    private static final Pattern MEMBER_NAME = Pattern.compile("[A-Za-z0-9_.-]{1,64}");
    private static final int MAX_INCARNATION_LENGTH = 64;

    private final CoordinatorSettings settings;
    private final CoordinatorLoop loop;

    HttpRequestHandler(CoordinatorSettings settings, CoordinatorLoop loop) {
        this.settings = settings;
        this.loop = loop;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        Channel channel = context.channel();
        if (request.decoderResult().isFailure()) {
            reject(channel, 400, "malformed HTTP request");
            return;
        }
        byte[] body = new byte[request.content().readableBytes()];
        request.content().readBytes(body);
        try {
            route(channel, request.method(), request.uri(), body);
        } catch (IOException | RuntimeException e) {
            reject(channel, 400, "not a valid message of this version: " + firstLine(String.valueOf(e.getMessage())));
        }
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("");
    }

    private void route(Channel channel, HttpMethod method, String path, byte[] body) throws IOException {
        if (method.equals(HttpMethod.POST) && path.equals(PEER_PATH)) {
            handlePeerMessage(channel, CoordinatorJson.JSON.readValue(body, CoordinatorJson.PeerEnvelope.class));
        } else if (method.equals(HttpMethod.POST) && path.equals(MEMBER_PATH)) {
            handleMemberCall(channel, CoordinatorJson.JSON.readValue(body, MemberRequest.class));
        } else if (method.equals(HttpMethod.GET) && BUNDLE_PATH.matcher(path).matches()) {
            handleBundleRequest(channel, Long.parseLong(path.substring(BUNDLE_PATH_PREFIX.length())));
        } else if (method.equals(HttpMethod.GET) && path.equals(STATE_PATH)) {
            loop.readStatus(status -> respondJson(channel, status, "cannot encode the status: "));
        } else {
            reject(channel, 404, method + " " + path + " is not a known method and path");
        }
    }

    private void handlePeerMessage(Channel channel, CoordinatorJson.PeerEnvelope envelope) {
        if (rejectOtherCluster(channel, envelope.cluster())) {
            return;
        }
        if (envelope.message() == null
                || envelope.from() == null
                || envelope.from().equals(settings.name())
                || !settings.coordinators().containsKey(envelope.from())) {
            reject(channel, 403, "\"" + envelope.from() + "\" is not another coordinator, or the message is missing");
            return;
        }
        loop.onPeerMessage(envelope.from(), envelope.message());
        respond(channel, 204, new byte[0]);
    }

    private void handleMemberCall(Channel channel, MemberRequest request) {
        if (rejectOtherCluster(channel, request.cluster())) {
            return;
        }
        if (!isValid(request.heartbeat())) {
            reject(channel, 400, "member or incarnation is missing or invalid");
            return;
        }
        loop.onMemberCall(request, response -> respondJson(channel, response, "cannot encode the response: "));
    }

    private static boolean isValid(MemberHeartbeat call) {
        return call != null
                && call.member() != null
                && MEMBER_NAME.matcher(call.member()).matches()
                && call.incarnation() != null
                && !call.incarnation().isEmpty()
                && call.incarnation().length() <= MAX_INCARNATION_LENGTH;
    }

    private void handleBundleRequest(Channel channel, long versionNumber) {
        loop.findBundle(versionNumber, bundle -> {
            if (bundle.isPresent()) {
                respond(channel, 200, bundle.get().getBytes(StandardCharsets.UTF_8));
            } else {
                reject(channel, 404, "version " + versionNumber + " is unknown to this coordinator");
            }
        });
    }

    private boolean rejectOtherCluster(Channel channel, String cluster) {
        if (settings.cluster().equals(cluster)) {
            return false;
        }
        reject(channel, 403, "found cluster \"" + cluster + "\", expected " + settings.cluster());
        return true;
    }

    private static void reject(Channel channel, int status, String reason) {
        FleetError error = new FleetError.MessageRejected(String.valueOf(channel.remoteAddress()), reason);
        byte[] body;
        try {
            body = CoordinatorJson.JSON.writeValueAsBytes(ErrorBody.of(error));
        } catch (JsonProcessingException e) {
            // Send the status with an empty error body.
            body = "{}".getBytes(StandardCharsets.UTF_8);
        }
        DefaultFullHttpResponse response = newResponse(status, body);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static void respondJson(Channel channel, Object body, String failurePrefix) {
        try {
            respond(channel, 200, CoordinatorJson.JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            reject(channel, 500, failurePrefix + e.getMessage());
        }
    }

    private static void respond(Channel channel, int status, byte[] body) {
        channel.writeAndFlush(newResponse(status, body));
    }

    private static DefaultFullHttpResponse newResponse(int status, byte[] body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
