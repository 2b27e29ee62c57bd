#include "edge/FrontServer.h"
#include "edge/RelayNode.h"
#include "platform/PlatformCallReader.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/RefusingEngineControl.h"
#include "tests/fakes/ScriptedHttpServer.h"

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);

/// What a caller received on its connection.
struct Received {
    std::string bytes;
    boost::system::error_code end; ///< how the connection ended
    std::string body() const { return bytes.substr(std::min(bytes.size(), bytes.find("\r\n\r\n") + 4)); }
};

Awaitable<void> sendRequest(net::io_context& context, std::string address, std::string request, Received& received)
{
    TcpStream stream(context.get_executor());
    stream.expires_after(std::chrono::seconds(5));
    const auto endpoint = parseEndpoint<Tcp>(address);
    co_await stream.async_connect(*endpoint, asTuple);
    co_await net::async_write(stream, net::buffer(request), asTuple);
    const auto [error, count] = co_await net::async_read(stream, net::dynamic_buffer(received.bytes), asTuple);
    received.end = error;
    context.stop();
}

/// Sends one request for a stream through a FrontServer to an engine whose only answer is scripted.
/// @param version  of the caller's request
Received callStream(const std::string& version, const std::string& connectionHeader, const std::string& answer)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    RefusingEngineControl control;
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    RelayNode node(context, options, platform::headerNames(), control);
    ScriptedHttpServer server(context, { answer });
    RegisteredServer engine = RelayHarness::engine("e", 0, 8);
    engine.address = server.address();
    node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    node.post(relay::event::ServerRegistered { engine });
    const platform::PlatformCallReader reader;
    net::basic_socket_acceptor<Tcp, Executor> temporarySocket(
        context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    const std::string address = "127.0.0.1:" + std::to_string(temporarySocket.local_endpoint().port());
    temporarySocket.close();
    const auto frontServer = FrontServer::make(context, address, node, reader);
    CHECK_TRUE(frontServer.ok());
    const std::string request = "POST /once/1 " + version + "\r\nHost: h.example\r\nX-Attempt-Id: me\r\n"
        + "Authorization: Bearer key\r\n" + connectionHeader + "Content-Length: 2\r\n\r\nhi";
    Received received;
    net::co_spawn(context.get_executor(), sendRequest(context, address, request, received), net::detached);
    context.run();
    return received;
}

std::string chunk(const std::string& bytes) { return std::to_string(bytes.size()) + "\r\n" + bytes + "\r\n"; }

const std::string StreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: me\r\nX-Server-Seal: s\r\n"
                               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string FirstEvent = "id: 1\n\n";

} // namespace

TEST_GROUP(Http10Caller) {};

TEST(Http10Caller, StreamIsDeliveredWithoutChunks)
{
    for (const char* connectionHeader : { "", "Connection: keep-alive\r\n" }) {
        const Received received
            = callStream("HTTP/1.0", connectionHeader, StreamHead + chunk(FirstEvent) + "0\r\n\r\n");
        CHECK_TEXT(FirstEvent, received.body());
        CHECK_TRUE(received.bytes.find("Transfer-Encoding") == std::string::npos);
        CHECK_TRUE(received.bytes.find("Connection: close") != std::string::npos);
        CHECK_TRUE(received.end == net::error::eof);
    }
}

// An answer that ends with its connection looks complete if the connection is closed in order.
TEST(Http10Caller, StreamThatIsBrokenOffEndsWithReset)
{
    const Received received = callStream("HTTP/1.0", "", StreamHead + chunk(FirstEvent));
    CHECK_TRUE(received.end == net::error::connection_reset);
}

TEST(Http10Caller, StreamToNewerCallerEndsWithLastChunk)
{
    const std::string lastChunk = "0\r\n\r\n";
    const Received whole = callStream("HTTP/1.1", "Connection: close\r\n", StreamHead + chunk(FirstEvent) + lastChunk);
    CHECK_TEXT(chunk(FirstEvent) + lastChunk, whole.body());
    const Received broken = callStream("HTTP/1.1", "Connection: close\r\n", StreamHead + chunk(FirstEvent));
    CHECK_TEXT(chunk(FirstEvent), broken.body());
}
