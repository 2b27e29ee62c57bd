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

/// @return the number of requests that were cut off, after a caller sent the bytes and reset its connection
std::uint64_t requestsCutOffBy(const std::string& bytes)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    RefusingEngineControl control(CheckAnswer::Alive);
    RelayNode node(context, RelayOptions(), platform::headerNames(), control);
    const platform::PlatformCallReader reader;
    net::basic_socket_acceptor<Tcp, Executor> temporarySocket(
        context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    const std::string address = "127.0.0.1:" + std::to_string(temporarySocket.local_endpoint().port());
    temporarySocket.close();
    const auto front = FrontServer::make(context, address, node, reader);
    CHECK_TRUE(front.ok());
    net::co_spawn(context.get_executor(), sendAndReset(context, address, bytes), net::detached);
    context.run_for(std::chrono::milliseconds(300));
    return (*front)->requestsCutOff();
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
