#include "relay/CallPlacer.h"

#include "relay/ChainFinder.h"
#include "relay/EngineCost.h"
#include "relay/Spread.h"

#include <algorithm>
#include <cmath>

namespace crocusmount::relay {

namespace {

    /// A server avoided after a failure is still better than none.
    constexpr double AvoidedPenaltyMs = 1000;
    /// Part of all instances that must avoid a server before the others do too: a few may have a fault of their own.
    constexpr double AvoiderShare = 0.25;
    constexpr double LeastAvoiders = 2;
    /// A server on which this very call failed before.
    constexpr double FailedBeforePenaltyMs = 5000;
    /// Part of a stage's pass that an event waits for it.
    constexpr double PassWaitShare = 0.5;
    /// Random part of a cost, so that instances with the same view do not all choose the same server.
    constexpr double CostJitter = 0.2;
    /// Cost of a stage that a rerouted stream has already: it keeps its KV cache, others read all tokens again.
    constexpr double KeptStageDiscount = 0.2;
    /// How much the cost of a plain service's server grows with its rate of failures.
    constexpr double FailurePenalty = 4;
    /// The other instances choose alike between two reports: this part of them is taken to have placed what this one
    /// has since the last.
    constexpr double AlikeShare = 0.3;
    /// Own calls at which a plain service's server counts as full, over this instance's share of its slots.
    constexpr double SlotOvercommit = 2;

    /// Cost of entering at an engine whose slots are all taken: calls wait there for another to end.
    constexpr double NoSlotPenaltyMs = 200;
    /// The exponent keeps engines with half of their slots free alike.
    constexpr double SlotExponent = 8;

    double entryPenaltyMs(double calls, std::uint32_t slots)
    {
        return NoSlotPenaltyMs * std::pow(calls / std::max(1U, slots), SlotExponent);
    }

} // namespace

CallPlacer::CallPlacer(const RelayOptions& options, const ServerFleet& fleet)
    : m_options(options)
    , m_fleet(fleet)
{
}

std::optional<Placement> CallPlacer::place(const Call& call, TimePoint now, std::uint64_t entropy) const
{
    const Service* service = call.routes->service(call.service);
    if (!service || !service->engine)
        return findServer(call, now, entropy);
    auto chain = findChain(call, *service->engine, nullptr, now, entropy);
    if (!chain)
        return std::nullopt;
    const Hop& first = chain->hops().front();
    return Placement { first.backend, first.address, *chain };
}

std::optional<Chain> CallPlacer::reroute(const Call& call, const Attempt& attempt, const std::vector<BackendId>& away,
    TimePoint now, std::uint64_t entropy) const
{
    const Service* service = call.routes->service(call.service);
    if (!service || !service->engine || attempt.chain.hops().empty())
        return std::nullopt;
    auto chain = findChain(call, *service->engine, &attempt, now, entropy);
    if (!chain || std::any_of(away.begin(), away.end(), [&](const BackendId& id) { return chain->contains(id); }))
        return std::nullopt;
    return chain;
}

double CallPlacer::penaltyMs(const Call& call, const FleetServer& server, TimePoint now) const
{
    const bool failedBefore = std::find(call.avoid.begin(), call.avoid.end(), server.entry.id) != call.avoid.end();
    const bool believed = !m_options.without.has(Mechanism::OthersAvoidance);
    const bool avoided = now < server.avoidUntil
        || (believed && server.others.avoiders >= std::max(LeastAvoiders, AvoiderShare * m_instances));
    return (avoided ? AvoidedPenaltyMs : 0) + (failedBefore ? FailedBeforePenaltyMs : 0);
}

/// What all instances' calls hold on an engine.
EngineLoad CallPlacer::loadOn(const FleetServer& server, TimePoint now) const
{
    const EngineLoad own = server.ownLoad(now);
    if (!m_fleet.knowsOthersLoad())
        return { own.engine, own.tokenLayers * m_instances, own.calls * m_instances };
    const auto total = [&](double mine, double reported, double others) {
        return mine + others + AlikeShare * (m_instances - 1) * std::max(0.0, mine - reported);
    };
    return { own.engine, total(own.tokenLayers, server.reported.tokenLayers, server.others.tokenLayers),
        total(own.calls, server.reported.calls, server.others.calls) };
}

std::optional<Chain> CallPlacer::findChain(
    const Call& call, const EngineModel& model, const Attempt* running, TimePoint now, std::uint64_t entropy) const
{
    const Hop* first = running ? &running->chain.hops().front() : nullptr;
    std::vector<ChainCandidate> candidates;
    std::map<DataCentreId, std::uint32_t> indices { { m_options.dataCentre, 0 } };
    const auto indexOf = [&](const DataCentreId& id) {
        return indices.emplace(id, static_cast<std::uint32_t>(indices.size())).first->second;
    };
    std::uint32_t home = 0;
    std::uint64_t use = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (first && id == first->backend) {
            home = indexOf(entry.dataCentre);
            continue;
        }
        const AcceleratorKind* card = model.kind(entry.accelerator);
        if (entry.service != call.service || entry.leaving || !entry.layers.size() || !card)
            continue;
        // Where no other chain is left a call waits for one: an attempt at a dead stage is a retry spent for nothing.
        if (server.refusedCheck)
            continue;
        // It goes on with what it has.
        if (server.isClosed(now) && !(running && running->chain.contains(id)))
            continue;
        const EngineLoad load = loadOn(server, now);
        const double contextTokens = load.tokenLayers / entry.layers.size() + call.tokens;
        const double slowness = m_options.without.has(Mechanism::SlownessPrice) ? 1 : server.slowness;
        const EngineCost cost(model, *card, entry.layers.size(), contextTokens, slowness);
        if (cost.fill() > m_options.memoryOvercommit && server.ownTokenLayers > 0)
            continue;
        const double kept = running && running->chain.contains(id) ? KeptStageDiscount : 1;
        const double entryMs
            = m_options.without.has(Mechanism::EntryPrice) ? 0 : entryPenaltyMs(load.calls, entry.slots);
        const double jitter = 1 + CostJitter * spread(entropy, ++use);
        // A stage takes an event up only after its pass under way, which runs all of its layers.
        const double entering = kept * PassWaitShare * cost.passMs() + penaltyMs(call, server, now);
        candidates.push_back({ id, entry.address, entry.layers, indexOf(entry.dataCentre),
            kept * cost.marginalMsPerLayer() * jitter, entering, entryMs });
    }
    return ChainFinder::find(model.layers, candidates, home, first);
}

std::optional<Placement> CallPlacer::findServer(const Call& call, TimePoint now, std::uint64_t entropy) const
{
    const FleetServer* best = nullptr;
    double bestCost = 0;
    std::uint64_t use = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (entry.service != call.service || entry.leaving)
            continue;
        if (server.ownCalls >= std::max(1.0, SlotOvercommit * entry.slots / m_instances) + 1)
            continue;
        const double cost = (1 + server.ownCalls) * (1 + FailurePenalty * server.failureRate)
                * (1 + CostJitter * spread(entropy, ++use))
            + (entry.dataCentre == m_options.dataCentre ? 0 : CostJitter) + penaltyMs(call, server, now);
        if (!best || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    return Placement { best->entry.id, best->entry.address, Chain() };
}

} // namespace crocusmount::relay
