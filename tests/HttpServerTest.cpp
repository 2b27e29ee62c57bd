#include "shell/HttpServer.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"

using namespace crocusmount;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);

/// Answers each request with a stream of one part, which it ends or leaves without its end.
class StreamHandler final : public HttpHandler {
public:
    explicit StreamHandler(bool endsStream)
        : m_endsStream(endsStream)
    {
    }

private:
    Awaitable<void> onExchange(HttpExchange& exchange) override
    {
        std::string empty;
        std::string part = "part";
        co_await exchange.beginStream("text/event-stream");
        co_await exchange.writeChunk(std::move(empty)); // Must not end the stream.
        co_await exchange.writeChunk(std::move(part));
        if (m_endsStream)
            co_await exchange.endStream();
    }

    bool m_endsStream;
};

/// What a caller received on its connection.
struct Received {
    std::string bytes;
    boost::system::error_code end; ///< how the connection ended

    std::string body() const { return bytes.substr(std::min(bytes.size(), bytes.find("\r\n\r\n") + 4)); }
};

/// Sends one request and reads to the end of the connection, at most for a second.
Received send(HttpHandler& handler, std::string request)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    const auto server = HttpServer::make(context, "127.0.0.1:0", HttpLimits(), handler);
    CHECK_TRUE(server.ok());
    Received received;
    const auto run = [&]() -> Awaitable<void> {
        TcpStream stream(context.get_executor());
        stream.expires_after(std::chrono::seconds(1));
        const auto endpoint = parseEndpoint<Tcp>((*server)->address());
        co_await stream.async_connect(*endpoint, asTuple);
        co_await net::async_write(stream, net::buffer(request), asTuple);
        const auto [error, count] = co_await net::async_read(stream, net::dynamic_buffer(received.bytes), asTuple);
        received.end = error;
    };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(3));
    return received;
}

const std::string OldRequest = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
const std::string NewRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(HttpServer) {};

TEST(HttpServer, StreamToHttp10CallerHasNoChunks)
{
    StreamHandler handler(true);
    const Received received = send(handler, OldRequest);
    CHECK_TEXT("part", received.body());
    CHECK_TRUE(received.bytes.find("chunked") == std::string::npos);
    CHECK_TRUE(received.end == net::error::eof);
}

// A stream without chunks looks complete if its connection is closed in order.
TEST(HttpServer, UnendedStreamToHttp10CallerEndsWithReset)
{
    StreamHandler handler(false);
    CHECK_TRUE(send(handler, OldRequest).end == net::error::connection_reset);
}

// A connection that stays open after a stream without its end would leave the caller waiting, and the head of the next
// answer would continue the stream.
TEST(HttpServer, UnendedStreamEndsItsConnection)
{
    StreamHandler handler(false);
    const Received received = send(handler, NewRequest);
    CHECK_TEXT("4\r\npart\r\n", received.body());
    CHECK_TRUE(received.end == net::error::eof);
}

namespace {

/// Answers with a body whose end the server behind it has not proven.
class UnprovenAnswerHandler final : public HttpHandler {
private:
    Awaitable<void> onExchange(HttpExchange& exchange) override
    {
        HttpReply reply;
        reply.body = "body";
        reply.isEndProven = false;
        co_await exchange.respond(std::move(reply));
    }
};

} // namespace

TEST(HttpServer, AnswerWhoseEndIsNotProvenGetsNoLength)
{
    UnprovenAnswerHandler handler;
    for (const std::string& request : { OldRequest, NewRequest }) {
        const Received received = send(handler, request);
        CHECK_TEXT("body", received.body());
        CHECK_TRUE(received.bytes.find("Content-Length") == std::string::npos);
        CHECK_TRUE(received.bytes.find("chunked") == std::string::npos);
        CHECK_TRUE(received.end == net::error::eof);
    }
}
