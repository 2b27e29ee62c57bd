#include "edge/FrontServer.h"
#include "edge/RelayNode.h"
#include "platform/PlatformCallReader.h"
#include "platform/WireNames.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"
#include "tests/fakes/RefusingEngineControl.h"

using namespace crocusmount;
using namespace crocusmount::relay;

TEST_GROUP(FrontServer) {};

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);

/// Sends the bytes and then resets the connection.
Awaitable<void> sendAndReset(net::io_context& context, std::string address, std::string bytes)
{
    TcpStream stream(context.get_executor());
    const auto endpoint = parseEndpoint<Tcp>(address);
    co_await stream.async_connect(*endpoint, asTuple);
    if (!bytes.empty())
        co_await net::async_write(stream, net::buffer(bytes), asTuple);
    Timer timer(context.get_executor());
    timer.expires_after(std::chrono::milliseconds(50));
    co_await timer.async_wait(asTuple);
    boost::system::error_code ignored;
    stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
    stream.close();
}

/// @return a local address at which nothing listens
std::string freeAddress(net::io_context& context)
{
    const net::basic_socket_acceptor<Tcp, Executor> temporarySocket(
        context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    return "127.0.0.1:" + std::to_string(temporarySocket.local_endpoint().port());
}

/// @return the number of requests that were cut off, after a caller sent the bytes and reset its connection
std::uint64_t requestsCutOffBy(const std::string& bytes)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    RefusingEngineControl control(CheckAnswer::Alive);
    RelayNode node(context, RelayOptions(), platform::headerNames(), control);
    const platform::PlatformCallReader reader;
    const std::string address = freeAddress(context);
    const auto front = FrontServer::make(context, address, node, reader);
    CHECK_TRUE(front.ok());
    net::co_spawn(context.get_executor(), sendAndReset(context, address, bytes), net::detached);
    context.run_for(std::chrono::milliseconds(300));
    return (*front)->requestsCutOff();
}

constexpr std::chrono::milliseconds ShortIdleTimeout { 100 };
constexpr std::uint64_t SmallBody = 10;

/// @return a configuration without routes, with the limits
std::shared_ptr<const RouteTable> configurationWith(std::uint64_t version, const CallLimits& limits)
{
    ServiceConfiguration configuration;
    configuration.version = version;
    configuration.limits = limits;
    return RouteTable::make(configuration);
}

/// Sends a request on a connection that has been idle for thrice the short timeout.
/// @param status  set to the status of the answer; stays 0 if the connection was closed without an answer
Awaitable<void> callAfterIdling(net::io_context& context, std::string address, unsigned& status)
{
    TcpStream stream(context.get_executor());
    const auto endpoint = parseEndpoint<Tcp>(address);
    co_await stream.async_connect(*endpoint, asTuple);
    Timer timer(context.get_executor());
    timer.expires_after(3 * ShortIdleTimeout);
    co_await timer.async_wait(asTuple);
    http::request<http::string_body> request(http::verb::post, "/unknown/", 11);
    request.set(http::field::host, "h.example");
    request.body() = std::string(2 * SmallBody, 'x');
    request.prepare_payload();
    co_await http::async_write(stream, request, asTuple);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [error, count] = co_await http::async_read(stream, buffer, response, asTuple);
    if (!error)
        status = response.result_int();
}

/// @return the status of the answer to a request on a connection that was idle while the limits changed; 0: none
unsigned statusAfterChange(const CallLimits& before, const CallLimits& after)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    RefusingEngineControl control(CheckAnswer::Alive);
    RelayNode node(context, RelayOptions(), platform::headerNames(), control);
    const platform::PlatformCallReader reader;
    const std::string address = freeAddress(context);
    const auto front = FrontServer::make(context, address, node, reader);
    CHECK_TRUE(front.ok());
    node.post(relay::event::ConfigurationAccepted { configurationWith(1, before) });
    unsigned status = 0;
    net::co_spawn(context.get_executor(), callAfterIdling(context, address, status), net::detached);
    context.run_for(ShortIdleTimeout / 2);
    node.post(relay::event::ConfigurationAccepted { configurationWith(2, after) });
    context.run_for(5 * ShortIdleTimeout);
    return status;
}

} // namespace

// Connections that ended inside a request left no trace.
TEST(FrontServer, ConnectionsThatEndInsideARequestAreCounted)
{
    const std::string head = "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\n";
    const struct {
        const char* name;
        std::string bytes;
        std::uint64_t cutOff;
    } cases[] = {
        { "no byte", "", 0 },
        { "one byte", head.substr(0, 1), 1 },
        { "inside the head", head.substr(0, 40), 1 },
        { "before the body", head, 1 },
        { "inside the body", head + "some", 1 },
        { "a whole request", head + "some text", 0 },
    };
    for (const auto& each : cases)
        CHECK_EQUAL_TEXT(each.cutOff, requestsCutOffBy(each.bytes), each.name);
}

// The limits of an earlier configuration cut off requests on connections that idled while they were raised.
TEST(FrontServer, RequestsAfterAnIdleTimeAreReadWithTheLimitsInForce)
{
    constexpr unsigned UnknownRoute = 404;
    constexpr unsigned BodyTooLarge = 413;
    constexpr unsigned Closed = 0;
    CallLimits briefIdle;
    briefIdle.idleTimeout = ShortIdleTimeout;
    CallLimits smallBody;
    smallBody.bodyBytes = SmallBody;
    const struct {
        const char* name;
        CallLimits before;
        CallLimits after;
        unsigned status;
    } cases[] = {
        { "unchanged limits", CallLimits(), CallLimits(), UnknownRoute },
        { "unchanged idle timeout that has passed", briefIdle, briefIdle, Closed },
        { "raised idle timeout", briefIdle, CallLimits(), UnknownRoute },
        { "unchanged body limit that is exceeded", smallBody, smallBody, BodyTooLarge },
        { "raised body limit", smallBody, CallLimits(), UnknownRoute },
        { "lowered body limit", CallLimits(), smallBody, BodyTooLarge },
    };
    for (const auto& each : cases)
        CHECK_EQUAL_TEXT(each.status, statusAfterChange(each.before, each.after), each.name);
}
