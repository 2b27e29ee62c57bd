#include "edge/PlacementDriver.h"

#include "edge/DecisionLog.h"
#include "edge/PlannerLock.h"
#include "edge/RelayNode.h"

#include <algorithm>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds PlanInterval { 200 };
    /// Delay before a refused order is sent again. An engine refuses orders, for example, while another one is under
    /// way.
    constexpr std::chrono::milliseconds RefusedOrderRetryDelay { 1000 };
    /// Time from the end of loading until the registry shows the new layers, including an engine's heartbeat interval.
    constexpr std::chrono::milliseconds ReportDelay { 3000 };
    /// Consecutive unanswered checks after which an engine's layers are placed elsewhere. A single check may be lost on
    /// the way. The registry drops a dead engine only after about four seconds, and its layers are missing in its data
    /// centre until then.
    constexpr std::uint32_t UnansweredChecksOfDeadEngine = 2;
    /// Factor on the estimated load time, because engines that load at the same time slow each other down.
    constexpr double LoadTimeFactor = 3;

} // namespace

PlacementDriver::PlacementDriver(
    net::io_context& context, relay::RelayNode& node, PlannerLock& lock, EngineControl& control)
    : m_context(context)
    , m_node(node)
    , m_lock(lock)
    , m_engineControl(control)
{
}

void PlacementDriver::start() { net::co_spawn(m_context.get_executor(), planLoop(), net::detached); }

Awaitable<void> PlacementDriver::planLoop()
{
    Timer timer(m_context.get_executor());
    while (true) {
        timer.expires_after(PlanInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        m_lock.setEligible(!m_node.reducer().isCutOff());
        // Servers that seem dead to an instance without a path to them must not lose their layers to others.
        if (!m_lock.isHeld() || m_node.reducer().isPathInDoubt()) {
            m_outstandingOrders.clear();
            continue;
        }
        const auto routes = m_node.reducer().routes();
        if (!routes)
            continue;
        for (const relay::Service& service : routes->configuration().services) {
            if (service.engine)
                planService(service);
        }
    }
}

void PlacementDriver::planService(const relay::Service& service)
{
    const auto now = std::chrono::steady_clock::now();
    const relay::DisabledMechanisms& disabled = m_node.reducer().options().without;
    const auto& servers = m_node.reducer().fleet().servers();
    std::vector<LayerPlanner::Engine> engines;
    std::set<BackendId> listed;
    for (const auto& [id, server] : servers) {
        const relay::RegisteredServer& entry = server.entry;
        if (entry.service != service.id)
            continue;
        listed.insert(id);
        const bool seemsDead = server.refusedCheck || server.unansweredChecks >= UnansweredChecksOfDeadEngine;
        const bool isReplaceable = !disabled.has(relay::Mechanism::EarlyReplacement) && seemsDead;
        LayerPlanner::Engine engine { id, entry.dataCentre, entry.accelerator, entry.layers, std::nullopt,
            entry.leaving || isReplaceable, entry.slots, server.ownTokenLayers + server.othersLoad.tokenLayers };
        const auto outstanding = m_outstandingOrders.find(id);
        if (outstanding != m_outstandingOrders.end()) {
            const OutstandingOrder& order = outstanding->second;
            if (entry.startedAt != order.engineStart || entry.layers == order.layers || now > order.expiresAt)
                m_outstandingOrders.erase(outstanding);
            else
                engine.ordered = order.layers;
        }
        engines.push_back(std::move(engine));
    }
    const bool anyHoldsLayers = std::any_of(engines.begin(), engines.end(),
        [](const LayerPlanner::Engine& engine) { return engine.held.size() || engine.ordered; });
    if (!m_planTimings[service.id].isDue(std::move(listed), anyHoldsLayers, m_node.now()))
        return;
    for (const LayerPlanner::Order& order : LayerPlanner::plan(*service.engine, engines, disabled)) {
        if (servers.at(order.engine).backoff.isActive(m_node.now()))
            continue; // The order is planned again once the engine takes requests.
        const double loadMs = 1000.0 * service.engine->loadSeconds * order.layers.size() / service.engine->layers;
        const auto expected
            = std::chrono::milliseconds(static_cast<std::int64_t>(loadMs * LoadTimeFactor)) + ReportDelay;
        m_outstandingOrders[order.engine] = { servers.at(order.engine).entry.startedAt, order.layers, now + expected };
        net::co_spawn(m_context.get_executor(), sendOrder(order, servers.at(order.engine), expected), net::detached);
    }
}

Awaitable<void> PlacementDriver::sendOrder(
    LayerPlanner::Order order, relay::FleetServer engine, std::chrono::milliseconds expected)
{
    BackendId id = order.engine;
    std::string address = engine.entry.address;
    const TimePoint askedAt = m_node.now();
    const OrderReply reply = co_await m_engineControl.placeLayers(std::move(id), std::move(address), order.layers);
    relay::DecisionLog::state("order",
        { { "engine", order.engine.value() }, { "from", order.layers.begin }, { "to", order.layers.end },
            { "held_from", engine.entry.layers.begin }, { "held_to", engine.entry.layers.end },
            { "calls", engine.ownCalls + engine.othersLoad.calls },
            { "token_layers", engine.ownTokenLayers + engine.othersLoad.tokenLayers },
            { "answer", static_cast<int>(reply.answer) }, { "status", reply.status },
            { "expected_ms", expected.count() } });
    m_node.post(relay::event::EngineStartSeen { order.engine, reply.startedAt });
    const StartTime startedAt = reply.startedAt.value() ? reply.startedAt : engine.entry.startedAt;
    if (reply.notice.hasContent())
        m_node.post(relay::event::ServerNoticeSeen { order.engine, startedAt, askedAt, reply.notice });
    if (reply.answer == OrderAnswer::Refused) {
        if (const auto outstanding = m_outstandingOrders.find(order.engine); outstanding != m_outstandingOrders.end())
            outstanding->second.expiresAt = std::chrono::steady_clock::now() + RefusedOrderRetryDelay;
    }
}

} // namespace crocusmount
