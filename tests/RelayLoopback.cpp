#include "tests/RelayLoopback.h"

#include "edge/FrontServer.h"
#include "edge/RelayNode.h"
#include "platform/PlatformCallReader.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "shell/Endpoint.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/RefusingEngineControl.h"
#include "tests/fakes/ScriptedServer.h"

namespace crocusmount::relay {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);

    /// Sends one request to the FrontServer, reads until the connection closes, but not longer than five seconds, and
    /// stops the context.
    /// @param outcome  its bytes read, and the end of the connection, are set
    Awaitable<void> sendToFrontServer(
        net::io_context& context, std::string address, std::string request, CallOutcome& outcome)
    {
        TcpStream stream(context.get_executor());
        stream.expires_after(std::chrono::seconds(5));
        const auto endpoint = parseEndpoint<Tcp>(address);
        co_await stream.async_connect(*endpoint, asTuple);
        co_await net::async_write(stream, net::buffer(request), asTuple);
        const auto [error, count] = co_await net::async_read(stream, net::dynamic_buffer(outcome.answer), asTuple);
        outcome.hasEndedInOrder = error == net::error::eof;
        context.stop();
    }

} // namespace

CallOutcome runCall(const std::string& request, std::vector<std::string> answers,
    const std::optional<RequestTrait>& quarantined, CheckAnswer checkAnswer, ConnectionEnd connectionEnd)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    RefusingEngineControl control(checkAnswer);
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    RelayNode node(context, options, platform::headerNames(), control);
    ScriptedServer server(context, std::move(answers), connectionEnd);
    RegisteredServer plain = RelayHarness::plain("x");
    plain.address = server.plainAddress();
    RegisteredServer engine = RelayHarness::engine("e", 0, 8);
    engine.address = server.engineAddress();
    control.addServer(plain.address, plain.id);
    control.addServer(engine.address, engine.id);
    node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) });
    node.post(relay::event::ServerRegistered { plain });
    node.post(relay::event::ServerRegistered { engine });
    if (quarantined)
        node.post(relay::event::QuarantineListed { *quarantined });
    const platform::PlatformCallReader reader;
    // The system chooses a free port for a temporary socket, and the server reuses that port.
    net::basic_socket_acceptor<Tcp, Executor> temporarySocket(
        context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
    const std::string address = "127.0.0.1:" + std::to_string(temporarySocket.local_endpoint().port());
    temporarySocket.close();
    const auto frontServer = FrontServer::make(context, address, node, reader);
    CHECK_TRUE(frontServer.ok());
    CallOutcome result;
    net::co_spawn(context.get_executor(), sendToFrontServer(context, address, request, result), net::detached);
    context.run();
    result.requests = server.requests();
    const FleetServer& known = node.reducer().fleet().servers().at(plain.id);
    result.limit = known.limit.perSecond;
    result.backoff = std::max(Duration(0), known.backoff.endsAt() - node.now());
    result.isLeaving = known.hasAnnouncedLeaving;
    result.unreadable = node.reducer().counters().noticesUnreadable;
    return result;
}

std::string requestTo(const char* path)
{
    return std::string("POST ") + path
        + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: me\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
          "Content-Length: 2\r\n\r\nhi";
}

std::string answerHead(const char* status, const char* id)
{
    return std::string("HTTP/1.1 ") + status + "\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: s\r\n";
}

bool hasText(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace crocusmount::relay
