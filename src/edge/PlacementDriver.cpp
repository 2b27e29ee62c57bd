#include "edge/PlacementDriver.h"

#include "edge/DecisionLog.h"
#include "edge/PlannerLock.h"
#include "edge/RelayNode.h"

#include <algorithm>

namespace crocusmount {

namespace {

    constexpr std::chrono::milliseconds PlanInterval { 200 };
    /// An order that was refused, as by an engine still busy with another, is given again after this.
    constexpr std::chrono::milliseconds RefusedPause { 1000 };
    /// Time beyond the loading itself until the registry shows it, an engine's heartbeat included.
    constexpr std::chrono::milliseconds ReportSlack { 3000 };
    /// Checks in a row that an engine leaves unanswered before its layers are placed elsewhere. One may be lost on the
    /// way; the list shows a dead engine only after some four seconds, in which its data centre lacks its layers.
    constexpr std::uint32_t ChecksOfADeadEngine = 2;
    /// Loads slow each other down; the estimate leaves room for that.
    constexpr double LoadSlack = 3;

} // namespace

PlacementDriver::PlacementDriver(
    net::io_context& context, relay::RelayNode& node, const PlannerLock& lock, EngineControl& control)
    : m_context(context)
    , m_node(node)
    , m_lock(lock)
    , m_control(control)
{
}

void PlacementDriver::start() { net::co_spawn(m_context.get_executor(), planLoop(), net::detached); }

Awaitable<void> PlacementDriver::planLoop()
{
    Timer timer(m_context.get_executor());
    while (true) {
        timer.expires_after(PlanInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        if (!m_lock.isHeld()) {
            m_outstanding.clear();
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
    const relay::DisabledMechanisms& without = m_node.reducer().options().without;
    const auto& servers = m_node.reducer().fleet().servers();
    std::vector<LayerPlanner::Engine> engines;
    std::set<BackendId> present;
    for (const auto& [id, server] : servers) {
        const relay::RegisteredServer& entry = server.entry;
        if (entry.service != service.id)
            continue;
        present.insert(id);
        const bool isDead = server.refusedCheck || server.unansweredChecks >= ChecksOfADeadEngine;
        const bool dead = !without.has(relay::Mechanism::EarlyReplacement) && isDead;
        LayerPlanner::Engine engine { id, entry.dataCentre, entry.accelerator, entry.layers, std::nullopt,
            entry.leaving || dead, entry.slots, server.ownTokenLayers + server.others.tokenLayers };
        const auto outstanding = m_outstanding.find(id);
        if (outstanding != m_outstanding.end()) {
            const Outstanding& order = outstanding->second;
            if (entry.startedAt != order.engineStart || entry.layers == order.layers || now > order.until)
                m_outstanding.erase(outstanding);
            else
                engine.ordered = order.layers;
        }
        engines.push_back(std::move(engine));
    }
    const bool anyHolds = std::any_of(engines.begin(), engines.end(),
        [](const LayerPlanner::Engine& engine) { return engine.held.size() || engine.ordered; });
    if (!m_timings[service.id].isDue(std::move(present), anyHolds, m_node.now()))
        return;
    for (const LayerPlanner::Order& order : LayerPlanner::plan(*service.engine, engines, without)) {
        const double loadMs = 1000.0 * service.engine->loadSeconds * order.layers.size() / service.engine->layers;
        const auto expected = std::chrono::milliseconds(static_cast<std::int64_t>(loadMs * LoadSlack)) + ReportSlack;
        m_outstanding[order.engine] = { servers.at(order.engine).entry.startedAt, order.layers, now + expected };
        net::co_spawn(m_context.get_executor(), give(order, servers.at(order.engine), expected), net::detached);
    }
}

Awaitable<void> PlacementDriver::give(
    LayerPlanner::Order order, relay::FleetServer engine, std::chrono::milliseconds expected)
{
    std::string address = engine.entry.address;
    const OrderReply reply = co_await m_control.placeLayers(std::move(address), order.layers);
    relay::DecisionLog::state("order",
        { { "engine", order.engine.value() }, { "from", order.layers.begin }, { "to", order.layers.end },
            { "held_from", engine.entry.layers.begin }, { "held_to", engine.entry.layers.end },
            { "calls", engine.ownCalls + engine.others.calls },
            { "token_layers", engine.ownTokenLayers + engine.others.tokenLayers },
            { "answer", static_cast<int>(reply.answer) }, { "status", reply.status },
            { "expected_ms", expected.count() } });
    m_node.post(relay::event::EngineStartSeen { order.engine, reply.startedAt });
    if (reply.answer == OrderAnswer::Refused) {
        if (const auto outstanding = m_outstanding.find(order.engine); outstanding != m_outstanding.end())
            outstanding->second.until = std::chrono::steady_clock::now() + RefusedPause;
    }
}

} // namespace crocusmount
