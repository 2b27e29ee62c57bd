#include "platform/PlatformEngineControl.h"
#include "shell/Endpoint.h"
#include "tests/Tests.h"

using namespace crocusmount;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);
using Acceptor = net::basic_socket_acceptor<Tcp, Executor>;

/// Accepts one connection, reads a request, sends bytes and closes.
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
    identity = co_await control.identify(std::move(address), std::move(path));
}

} // namespace

TEST_GROUP(EngineControl) {};

// A proxy accepts connections while the server behind it is down: only an answer that names a start tells of one.
TEST(EngineControl, AServerIsIdentifiedByWhatItsHealthCheckSays)
{
    const struct {
        const char* name;
        std::string answer; ///< empty: the connection is closed without one
        CheckAnswer expected;
        const char* id;
    } cases[] = {
        { "healthy", "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "i-1" },
        { "leaving", "HTTP/1.1 503 -\r\nx-instance-id: i-2\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "i-2" },
        { "no id", "HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n", CheckAnswer::Alive, "" },
        { "accepted and closed", "", CheckAnswer::Silent, "" },
    };
    for (const auto& each : cases) {
        net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
        platform::PlatformEngineControl control(context);
        Acceptor acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"));
        std::string target;
        ServerIdentity identity { CheckAnswer::Refused, BackendId("none") };
        net::co_spawn(context.get_executor(), answerOnce(acceptor, each.answer, target), net::detached);
        const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        net::co_spawn(context.get_executor(), identify(control, address, identity), net::detached);
        context.run_for(std::chrono::seconds(2));
        CHECK_TRUE_TEXT(identity.answer == each.expected, each.name);
        STRCMP_EQUAL_TEXT(each.id, identity.id.value().c_str(), each.name);
        STRCMP_EQUAL_TEXT("/health", target.c_str(), each.name);
    }
}

TEST(EngineControl, ARefusedConnectionShowsThatNoServerListens)
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
