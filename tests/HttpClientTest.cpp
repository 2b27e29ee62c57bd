#include "shell/HttpClient.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;

TEST_GROUP(HttpClient) {};

namespace {

/// Sends a request to a server whose only answer is scripted, then closes the connection in order.
/// @param streams  whether to use stream() instead of call()
HttpAnswer request(const std::string& answer, http::verb verb, bool streams, std::string& streamed)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    ScriptedHttpServer server(context, { answer });
    HttpClient client(context);
    HttpCall call;
    call.address = server.address();
    call.verb = verb;
    HttpAnswer result;
    const auto run = [&]() -> Awaitable<void> {
        HttpClient::Receive receive = [&](std::string_view bytes) {
            streamed.append(bytes);
            return true;
        };
        if (streams)
            result = co_await client.stream(call, std::chrono::seconds(1), std::move(receive), nullptr);
        else
            result = co_await client.call(call);
    };
    net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(3));
    return result;
}

} // namespace

// The system closes the connections of a process that crashes in order. For the reader of an answer without a length
// that looks like the end of the answer.
TEST(HttpClient, EndOfAnswerTellsWhatProvesIt)
{
    const struct {
        const char* name;
        const char* answer;
        BodyEnd end;
        const char* body;
        http::verb verb = http::verb::get;
    } cases[] = {
        { "length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", BodyEnd::Framed, "body" },
        { "last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", BodyEnd::Framed,
            "body" },
        { "no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", BodyEnd::Framed, "" },
        { "status without body", "HTTP/1.1 204 No Content\r\n\r\n", BodyEnd::Framed, "" },
        { "closed connection", "HTTP/1.1 200 OK\r\n\r\nbody", BodyEnd::ConnectionClosed, "body" },
        { "closed connection before the body", "HTTP/1.1 200 OK\r\n\r\n", BodyEnd::ConnectionClosed, "" },
        { "HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody", BodyEnd::ConnectionClosed, "body" },
        { "failure without length", "HTTP/1.1 500 -\r\n\r\nbody", BodyEnd::ConnectionClosed, "body" },
        { "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", BodyEnd::Framed, "", http::verb::head },
        { "HEAD without length", "HTTP/1.1 200 OK\r\n\r\n", BodyEnd::Framed, "", http::verb::head },
    };
    for (const auto& testCase : cases) {
        for (const bool streams : { false, true }) {
            std::string streamed;
            const HttpAnswer answer = request(testCase.answer, testCase.verb, streams, streamed);
            CHECK_TRUE_TEXT(answer.phase == CallPhase::Answered, testCase.name);
            CHECK_TRUE_TEXT(answer.end == testCase.end, testCase.name);
            STRCMP_EQUAL_TEXT(testCase.body, (streamed + answer.body).c_str(), testCase.name);
        }
    }
}

TEST(HttpClient, CutAnswerHasNoEnd)
{
    for (const char* cut : { "", "HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" }) {
        for (const bool streams : { false, true }) {
            std::string streamed;
            const HttpAnswer answer = request(cut, http::verb::get, streams, streamed);
            CHECK_TRUE_TEXT(answer.phase == CallPhase::Sent, cut);
            CHECK_TRUE_TEXT(answer.end == BodyEnd::Missing, cut);
        }
    }
}

// Guards against descriptors that were held for each address that a client had ever called.
TEST(HttpClient, KeepsABoundedNumberOfConnectionsWhateverAddressesComeAndGo)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    constexpr std::size_t Addresses = HttpClient::MaxIdleConnections + 50;
    for (const bool isFresh : { false, true }) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        HttpClient client(context);
        std::vector<std::unique_ptr<ScriptedHttpServer>> servers;
        std::size_t answered = 0;
        const auto run = [&]() -> Awaitable<void> {
            for (std::size_t i = 0; i < Addresses; ++i) {
                servers.push_back(std::make_unique<ScriptedHttpServer>(context, std::vector<std::string> { answer }));
                HttpCall call;
                call.address = servers.back()->address();
                call.freshConnection = isFresh;
                const HttpAnswer got = co_await client.call(std::move(call));
                answered += got.phase == CallPhase::Answered;
            }
        };
        net::co_spawn(context.get_executor(), run, [&](const std::exception_ptr&) { context.stop(); });
        context.run_for(std::chrono::seconds(10));
        CHECK_EQUAL(Addresses, answered);
        CHECK_EQUAL(isFresh ? 0U : HttpClient::MaxIdleConnections, client.idleConnections());
    }
}
