package weldhitch.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BooleanSupplier;
import weldhitch.decision.settings.RequestClass;

/**
 * Encodes and writes the responses of one downstream connection, complete or streamed, and decides whether the
 * connection persists after them. Owned by a {@link ClientConnection}, which handles the end of a response only after
 * the call that writes it, because a write may call back into the connection before it returns. Not thread-safe,
 * confined to the event loop.
 */
final class ClientResponseWriter {
    private final Channel channel;
    private final Clock clock;
    private final ResourceLimits limits;
    private final ConnectionDeadlines deadlines;
    /** Returns whether the connection must close after the current response; evaluated once for each response. */
    private final BooleanSupplier closeRequired;

    private final BooleanSupplier reportsVersion;
    private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
    private boolean keepAlive;

    ClientResponseWriter(
            Channel channel,
            Clock clock,
            ResourceLimits limits,
            ConnectionDeadlines deadlines,
            BooleanSupplier closeRequired,
            BooleanSupplier reportsVersion) {
        this.channel = channel;
        this.clock = clock;
        this.limits = limits;
        this.deadlines = deadlines;
        this.closeRequired = closeRequired;
        this.reportsVersion = reportsVersion;
    }

    /** Sets the HTTP version of the request; the response uses it if it is HTTP/1, and HTTP/1.1 otherwise. */
    void requestVersion(HttpVersion version) {
        httpVersion = version.majorVersion() == 1 ? version : HttpVersion.HTTP_1_1;
    }

    /** Returns whether the connection persists after the current response. */
    boolean keepAlive() {
        return keepAlive;
    }

    /** Sets whether the connection persists after the current response. */
    void keepAlive(boolean persists) {
        keepAlive = persists;
    }

    /** Lets the connection persist if the request asks for that. */
    void keepAliveAsRequested(HttpRequest request) {
        keepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Writes an interim response that asks the client for the body, if the client waits for one. */
    void writeContinueIfExpected(HttpRequest request) {
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(httpVersion, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Writes a server's complete response; {@code inFlight} is the request that it answers. */
    void writeServed(ServerResponse serverResponse, InFlightRequest inFlight) {
        ByteBuf body =
                serverResponse.body().size() > 0 ? serverResponse.body().asSingleBuffer() : Unpooled.EMPTY_BUFFER;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(httpVersion, HttpResponseStatus.OK, body);
        if (serverResponse.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, serverResponse.contentType());
        }
        write(response, inFlight);
    }

    /**
     * Writes a response without a body.
     *
     * @param retryAfter nanoseconds, or 0 for no {@code Retry-After}
     * @param inFlight the request that the response answers; null if none was accepted
     */
    void writeStatus(HttpResponseStatus status, long retryAfter, InFlightRequest inFlight) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(httpVersion, status, Unpooled.EMPTY_BUFFER);
        if (retryAfter > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Headers.formatSeconds(retryAfter));
        }
        write(response, inFlight);
    }

    /** Writes a response without a body that states the deduplication scope of the request class. */
    void writeDeduplicationScope(RequestClass requestClass) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(httpVersion, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
        response.headers().set(Headers.DEDUPLICATION_SCOPE, Headers.deduplicationScope(requestClass));
        write(response, null);
    }

    private void write(DefaultFullHttpResponse response, InFlightRequest inFlight) {
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        addRouteVersion(response, inFlight);
        addDeduplicationScope(response, inFlight);
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        int bodyBytes = response.content().readableBytes();
        trackWrite(channel.writeAndFlush(response), bodyBytes);
    }

    private void addRouteVersion(HttpResponse response, InFlightRequest inFlight) {
        if (inFlight != null && inFlight.routeTable != null && reportsVersion.getAsBoolean()) {
            response.headers().set(Headers.ROUTE_VERSION, inFlight.routeTable.version());
        }
    }

    private static void addDeduplicationScope(HttpResponse response, InFlightRequest inFlight) {
        if (inFlight != null && Headers.wantsDeduplicationScope(inFlight.request.headers())) {
            response.headers()
                    .set(Headers.DEDUPLICATION_SCOPE, Headers.deduplicationScope(inFlight.request.requestClass()));
        }
    }

    private boolean updateKeepAlive() {
        keepAlive &= !closeRequired.getAsBoolean();
        return keepAlive;
    }

    /** Accounts for a write that ends a response until the operating system has accepted it. */
    private void trackWrite(ChannelFuture write, int bytes) {
        deadlines.writeStarted(clock.now());
        limits.reserve(bytes);
        write.addListener(f -> {
            deadlines.writeCompleted();
            limits.release(bytes);
            if (!f.isSuccess()) {
                // The response is lost; left open, the client would wait for it until it gives up.
                channel.close();
            }
        });
    }

    /** Writes the head of a response whose body follows in parts. */
    void startStream(ServerResponse serverResponse, InFlightRequest inFlight) {
        HttpResponse response = new DefaultHttpResponse(httpVersion, HttpResponseStatus.OK);
        if (serverResponse.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, serverResponse.contentType());
        }
        if (serverResponse.length() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, serverResponse.length());
        } else if (httpVersion.isKeepAliveDefault()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            keepAlive = false;
        }
        addRouteVersion(response, inFlight);
        addDeduplicationScope(response, inFlight);
        HttpUtil.setKeepAlive(response, updateKeepAlive());
        channel.write(response);
    }

    /** Writes a part of a streamed body; takes ownership of the buffer. */
    void streamData(ByteBuf bytes) {
        deadlines.writeProgressed(clock.now());
        int count = bytes.readableBytes();
        ChannelFuture write = channel.writeAndFlush(new DefaultHttpContent(bytes));
        limits.reserve(count);
        write.addListener(f -> limits.release(count));
    }

    /** Completes a streamed response. */
    void endStream() {
        trackWrite(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), 0);
    }

    /**
     * Aborts a streamed response with a connection reset, which shows the client that the response is incomplete,
     * whatever its framing.
     */
    void resetStream() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
