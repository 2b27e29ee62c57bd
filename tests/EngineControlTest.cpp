#include "platform/PlatformEngineControl.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);
using Acceptor = net::basic_socket_acceptor<Tcp, Executor>;

/// Accepts one connection, reads a request, sends the answer and closes the connection.
/// @param answer  bytes to send; empty: nothing is sent
/// @param target  set to the target of the request
Awaitable<void> answerOnce(Acceptor& acceptor, std::string answer, std::string& target)
{
    TcpStream stream(acceptor.get_executor());
    co_await acceptor.async_accept(stream.socket(), asTuple);
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    co_await http::async_read(stream, buffer, request, asTuple);
    target = std::string(request.target());
    if (!answer.empty())
        co_await net::async_write(stream, net::buffer(answer), asTuple);
}

Awaitable<void> identify(EngineControl& control, std::string address, ServerIdentity& identity)
{
    std::string path = "/health";
    identity = co_await control.identify(std::move(address), std::move(path), std::chrono::milliseconds(150));
}

Awaitable<void> check(EngineControl& control, std::string address, EngineReport& report)
{
    report = co_await control.check(std::move(address), std::chrono::milliseconds(80));
}

Awaitable<void> askStalledStage(EngineControl& control, std::string address, StalledStage& stage)
{
    std::string call = "call";
    stage = co_await control.stalledStage(std::move(address), std::move(call));
}

/// @return a successful answer that ends with its connection
std::string answerWithoutLength(const std::string& body) { return "HTTP/1.1 200 OK\r\n\r\n" + body; }

} // namespace

TEST_GROUP(EngineControl) {};

// A proxy accepts connections even while the server behind it is down. A server is therefore identified only by the
// instance id in an answer.
TEST(EngineControl, ServerIsIdentifiedByInstanceIdInHealthCheckAnswer)
{
    const struct {
        const char* name;
        std::string answer; ///< empty: the connection is closed without an answer
        CheckAnswer expected;
        const char* id;
    } cases[] = {
        { "healthy", "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "i-1" },
        { "leaving", "HTTP/1.1 503 -\r\nx-instance-id: i-2\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "i-2" },
        { "no id", "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "" },
        { "accepted and closed", "", CheckAnswer::Silent, "" },
    };
    for (const auto& testCase : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        platform::PlatformEngineControl control(context);
        Acceptor acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
        std::string target;
        ServerIdentity identity { CheckAnswer::Refused, BackendId("none") };
        net::co_spawn(context.get_executor(), answerOnce(acceptor, testCase.answer, target), net::detached);
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        net::co_spawn(context.get_executor(), identify(control, address, identity), net::detached);
        context.run_for(std::chrono::seconds(2));
        CHECK_TRUE_TEXT(identity.answer == testCase.expected, testCase.name);
        STRCMP_EQUAL_TEXT(testCase.id, identity.id.value().c_str(), testCase.name);
        STRCMP_EQUAL_TEXT("/health", target.c_str(), testCase.name);
    }
}

// An order for an engine that had ended reached the next engine at its address, which had too little memory for it.
TEST(EngineControl, OrdersNameTheEngineThatTheyAreFor)
{
    const BackendId engine("i-1");
    const Chain chain = *Chain::make(8, { { engine, "127.0.0.1:1", { 0, 8 }, {} } });
    for (const bool isReroute : { false, true }) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        platform::PlatformEngineControl control(context);
        ScriptedHttpServer server(context, { "HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n" });
        OrderReply reply;
        const auto order = [&]() -> Awaitable<void> {
            std::string address = server.address();
            std::string call = "call";
            BackendId id = engine;
            if (isReroute)
                reply = co_await control.reroute(std::move(address), std::move(call), chain);
            else
                reply = co_await control.placeLayers(std::move(id), std::move(address), { 0, 8 });
        };
        net::co_spawn(context.get_executor(), order(), [&](const std::exception_ptr&) { context.stop(); });
        context.run_for(std::chrono::seconds(2));
        CHECK_TEXT("i-1", server.headers("X-Expect-Instance"));
        CHECK_TRUE(reply.answer == OrderAnswer::Refused);
        CHECK_EQUAL(421U, reply.status);
    }
}

TEST(EngineControl, RefusedConnectionIsReportedAsRefused)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    platform::PlatformEngineControl control(context);
    Acceptor acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    acceptor.close();
    ServerIdentity identity;
    net::co_spawn(context.get_executor(), identify(control, address, identity), net::detached);
    context.run_for(std::chrono::seconds(2));
    CHECK_TRUE(identity.answer == CheckAnswer::Refused);
}

// The connections of a process that crashes are closed in order. What it had sent of a report is no report: read as
// one, it would state an engine that works at its usual speed and has nothing queued.
TEST(EngineControl, CutReportDoesNotCountAsAnsweredCheck)
{
    const std::string report = R"({"pace":3.5,"queued":4,"kv_used":50,"kv_total":100,"layers":{"from":2,"target":7}})";
    for (std::size_t size = 0; size <= report.size(); ++size) {
        const std::string body = report.substr(0, size);
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        platform::PlatformEngineControl control(context);
        ScriptedHttpServer server(context, { answerWithoutLength(body) });
        EngineReport received { CheckAnswer::Refused };
        net::co_spawn(context.get_executor(), check(control, server.address(), received),
            [&](const std::exception_ptr&) { context.stop(); });
        context.run_for(std::chrono::seconds(2));
        const bool isWhole = size == report.size();
        CHECK_TRUE_TEXT(received.answer == (isWhole ? CheckAnswer::Alive : CheckAnswer::Silent), body.c_str());
        if (!isWhole)
            continue;
        DOUBLES_EQUAL(3.5, received.slowness, 1e-9);
        CHECK_EQUAL(4U, received.queued);
        CHECK_TRUE((received.layers == LayerRange { 2, 7 }));
    }
}

// Without a readable report, the first stage itself is the one that may have stalled.
TEST(EngineControl, CutReportDoesNotClearFirstStageOfStall)
{
    const std::string report = R"({"stalled":[{"id":"call","address":"1.2.3.4:5"}]})";
    for (std::size_t size = 0; size <= report.size(); ++size) {
        const std::string body = report.substr(0, size);
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        platform::PlatformEngineControl control(context);
        ScriptedHttpServer server(context, { answerWithoutLength(body) });
        StalledStage stage;
        net::co_spawn(context.get_executor(), askStalledStage(control, server.address(), stage),
            [&](const std::exception_ptr&) { context.stop(); });
        context.run_for(std::chrono::seconds(2));
        const std::string expected = size == report.size() ? "1.2.3.4:5" : server.address();
        STRCMP_EQUAL_TEXT(expected.c_str(), stage.address.c_str(), body.c_str());
    }
}
