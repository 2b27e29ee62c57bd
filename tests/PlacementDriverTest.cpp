#include "edge/PlacementDriver.h"
#include "edge/InstanceRegistry.h"
#include "edge/PlannerLock.h"
#include "edge/RelayNode.h"
#include "platform/PlatformEngineControl.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "shell/Endpoint.h"
#include "shell/Json.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/LockStore.h"

#include <deque>

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

constexpr auto asTuple = net::as_tuple(useAwaitable);

/// Accepts every order at its own address and records the body of the order.
class OrderRecorder {
public:
    OrderRecorder(net::io_context& context, std::vector<std::string>& orders)
        : m_acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_orders(orders)
    {
        net::co_spawn(context.get_executor(), run(), net::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    Awaitable<void> run()
    {
        while (true) {
            TcpStream stream(m_acceptor.get_executor());
            const auto [error] = co_await m_acceptor.async_accept(stream.socket(), asTuple);
            if (error)
                co_return;
            beast::flat_buffer buffer;
            http::request<http::string_body> request;
            co_await http::async_read(stream, buffer, request, asTuple);
            m_orders.push_back(request.body());
            const std::string answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            co_await net::async_write(stream, net::buffer(answer), asTuple);
        }
    }

    net::basic_socket_acceptor<Tcp, Executor> m_acceptor;
    std::vector<std::string>& m_orders;
};

/// Runs the planner for three engines that all hold the first half of the model, until orders are sent or ten seconds
/// have passed.
/// @return the bodies of the orders
std::vector<std::string> runPlannerUntilOrdered(const ServiceConfiguration& configuration)
{
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    LockStore store;
    InstanceRegistry registry(context, store, store, { "i-1", "1.1.1.1:1", "z", "" });
    registry.storeChanged(
        { { "crocusmount/instances/i-1", R"({"address":"1.1.1.1:1","data_centre":"z","peer_address":""})", 1 },
            false });
    PlannerLock lock(context, store, store, registry);
    platform::PlatformEngineControl control(context);
    RelayOptions options;
    options.dataCentre = DataCentreId("z");
    RelayNode node(context, options, platform::headerNames(), control);
    PlacementDriver driver(context, node, lock, control);
    std::vector<std::string> orders;
    std::deque<OrderRecorder> engines;
    node.post(relay::event::ConfigurationAccepted { RouteTable::make(configuration) });
    for (const char* id : { "a", "b", "c" }) {
        engines.emplace_back(context, orders);
        RegisteredServer engine = RelayHarness::engine(id, 0, 4);
        engine.address = engines.back().address();
        node.post(relay::event::ServerRegistered { engine });
    }
    registry.start();
    lock.start();
    driver.start();
    for (int i = 0; i < 100 && orders.empty(); ++i)
        context.run_for(std::chrono::milliseconds(100));
    return orders;
}

} // namespace

TEST_GROUP(PlacementDriver) {};

// Guards against orders that cut running streams: an engine that was needed for other layers was ordered to drop the
// streams through its own. Streams for which no retry or no room was left ended midway. The strategy "queue" lets the
// streams end before the engine changes its layers.
TEST(PlacementDriver, AnEngineThatIsMovedEndsItsStreamsFirst)
{
    ServiceConfiguration repeatable = RelayHarness::configuration();
    std::erase_if(repeatable.routes, [](const Route& route) { return !isRepeatable(route.kind); });
    const struct {
        const char* name;
        ServiceConfiguration configuration;
    } cases[] = {
        { "streams that can be resumed", repeatable },
        { "streams that run once, too", RelayHarness::configuration() },
    };
    for (const auto& testCase : cases) {
        const std::vector<std::string> orders = runPlannerUntilOrdered(testCase.configuration);
        CHECK_FALSE_TEXT(orders.empty(), testCase.name);
        for (const std::string& order : orders)
            STRCMP_EQUAL_TEXT("queue", textOf(parseObject(order), "strategy").c_str(), testCase.name);
    }
}
