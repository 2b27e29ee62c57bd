#include "crocusmount/Chain.h"
#include "shell/Endpoint.h"
#include "shell/HttpBackendClient.h"
#include "tests/Tests.h"

using namespace crocusmount;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);

/// Reads a request, answers with the bytes, and then closes the connection in order.
Awaitable<void> answerOnce(net::basic_socket_acceptor<Tcp, Executor>& acceptor, std::string answer)
{
    TcpStream stream(acceptor.get_executor());
    co_await acceptor.async_accept(stream.socket(), asTuple);
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    co_await http::async_read(stream, buffer, request, asTuple);
    co_await net::async_write(stream, net::buffer(answer), asTuple);
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

/// @param answer  bytes that the engine sends before it closes the connection
/// @return the last event that was posted for an attempt at that engine
EventBody lastEventOf(const std::string& answer)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    net::basic_socket_acceptor<Tcp, Executor> acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    net::co_spawn(context.get_executor(), answerOnce(acceptor, answer), net::detached);
    EventBody last;
    HttpBackendClient client(context, "e", [&](EventBody event) { last = std::move(event); });
    effect::StartAttempt attempt;
    attempt.attempt = AttemptId(1);
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    attempt.chain = *Chain::make(1, { { BackendId("a"), address, LayerRange { 0, 1 }, Generation(1) } });
    client.start(attempt);
    context.run_for(std::chrono::seconds(5));
    return last;
}

} // namespace

TEST_GROUP(StreamFraming) {};

TEST(StreamFraming, AStreamWithoutItsEndFrameIsNotComplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const std::string unframed = head + "Connection: close\r\n\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string token
        = "data: {\"attempt\":\"e/1\",\"index\":0,\"text\":\"t\",\"trace\":\"a:0-1@1\"}\n\n"; // 66 bytes
    const std::string end = "data: {\"attempt\":\"e/1\",\"end\":true,\"count\":1}\n\n";
    const struct {
        const char* name;
        std::string answer;
        bool isComplete;
    } cases[] = {
        { "without length, whole", unframed + token + end, true },
        { "without length, ends before the end frame", unframed + token, false },
        { "without length, ends inside a token", unframed + token.substr(0, 30), false },
        { "without length, ends inside the end frame", unframed + token + end.substr(0, end.size() - 3), false },
        { "without length, no frame", unframed, false },
        { "chunks, ends inside a chunk", chunked + "42\r\n" + token.substr(0, 30), false },
        { "chunks with the last one, ends inside a token", chunked + "1e\r\n" + token.substr(0, 30) + "\r\n0\r\n\r\n",
            false },
    };
    for (const auto& each : cases) {
        const EventBody last = lastEventOf(each.answer);
        CHECK_EQUAL_TEXT(each.isComplete, std::holds_alternative<event::AttemptEnded>(last), each.name);
        if (each.isComplete)
            continue;
        const auto* failure = std::get_if<event::AttemptFailed>(&last);
        CHECK_TRUE_TEXT(
            failure && failure->reason == Reason::ConnectionLost && failure->run == RunState::MayHaveRun, each.name);
    }
}
