#include "relay/CallPlacer.h"

#include "relay/ChainFinder.h"
#include "relay/EngineCost.h"
#include "relay/Spread.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace crocusmount::relay {

namespace {

    /// Penalty of a server that is being avoided. It is still preferred to no server at all.
    constexpr double AvoidedPenaltyMs = 1000;
    /// Fraction of all instances that must avoid a server before this one avoids it, too. A smaller group may have a
    /// fault of its own.
    constexpr double MinAvoiderFraction = 0.25;
    /// Lower limit of the number of instances that MinAvoiderFraction requires.
    constexpr double MinAvoiders = 2;
    /// Penalty of a server that already failed the call being placed.
    constexpr double FailedBeforePenaltyMs = 5000;
    /// Fraction of a stage's pass that an event waits for on average before the stage processes it.
    constexpr double PassWaitFraction = 0.5;
    /// Random fraction added to a cost, so that instances with identical information choose different servers.
    constexpr double CostJitter = 0.2;
    /// Cost factor of a stage that a rerouted stream already uses. Its KV cache is kept, while a new stage has to
    /// process all tokens again.
    constexpr double KeptStageCostFactor = 0.2;
    /// Cost increase of a plain service's server per unit of its failure rate.
    constexpr double FailureRateWeight = 4;
    /// Fraction of this instance's calls placed since the last load reports that each other instance is assumed to have
    /// placed on the same engine, because instances make similar choices between two reports.
    constexpr double SimilarChoiceFraction = 0.3;
    /// Number of own calls at which a plain service's server counts as full, as a multiple of this instance's share of
    /// the server's slots.
    constexpr double SlotOvercommit = 2;

    /// Cost of entering a chain at an engine without a free slot, where calls wait for another call to end.
    constexpr double NoSlotPenaltyMs = 200;
    /// Exponent of the used fraction of slots. The cost of entering stays negligible while half of the slots are free.
    constexpr double SlotUseExponent = 8;

    /// @param calls  estimated calls of all instances that have this engine as first stage
    /// @return cost of entering a chain at this engine, in ms
    double entryPenaltyMs(double calls, std::uint32_t slots)
    {
        return NoSlotPenaltyMs * std::pow(calls / std::max(1U, slots), SlotUseExponent);
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
    const EngineModel& model = *service->engine;
    if (model.times && !m_options.without.has(Mechanism::PredictedTimes))
        return findByTimes(call, model, *model.times, now, entropy);
    auto chain = findChain(call, model, nullptr, now, entropy);
    if (!chain)
        return std::nullopt;
    const Hop& first = chain->hops().front();
    return Placement { first.backend, first.address, *chain };
}

std::optional<Chain> CallPlacer::reroute(const Call& call, const Attempt& attempt,
    const std::vector<BackendId>& excluded, TimePoint now, std::uint64_t entropy) const
{
    const Service* service = call.routes->service(call.service);
    if (!service || !service->engine || attempt.chain.hops().empty())
        return std::nullopt;
    auto chain = findChain(call, *service->engine, &attempt, now, entropy);
    if (!chain
        || std::any_of(excluded.begin(), excluded.end(), [&](const BackendId& id) { return chain->contains(id); }))
        return std::nullopt;
    return chain;
}

double CallPlacer::penaltyMs(const Call& call, const FleetServer& server, TimePoint now) const
{
    const bool failedBefore = std::find(call.avoidedServers.begin(), call.avoidedServers.end(), server.entry.id)
        != call.avoidedServers.end();
    const bool usesOthersAvoidance = !m_options.without.has(Mechanism::OthersAvoidance);
    const bool isAvoided = now < server.avoidUntil
        || (usesOthersAvoidance
            && server.othersLoad.avoiders >= std::max(MinAvoiders, MinAvoiderFraction * m_instances));
    return (isAvoided ? AvoidedPenaltyMs : 0) + (failedBefore ? FailedBeforePenaltyMs : 0);
}

/// @param calls  estimated calls of all instances that have this engine as first stage
/// @return added cost of entering a chain at an engine, in ms; infinite if the engine may be sent no call now
double CallPlacer::firstStagePenaltyMs(const FleetServer& server, double calls, TimePoint now) const
{
    if (!server.mayReceiveCall(now))
        return std::numeric_limits<double>::infinity();
    return m_options.without.has(Mechanism::EntryPrice) ? 0 : entryPenaltyMs(calls, server.entry.slots);
}

/// @return the estimated load of all instances' calls on an engine
EngineLoad CallPlacer::estimatedLoad(const FleetServer& server, TimePoint now) const
{
    const EngineLoad own = server.ownLoad(now);
    // Without reports, every other instance is assumed to use the engine as much as this one.
    if (!m_fleet.knowsOthersLoad())
        return { own.engine, own.tokenLayers * m_instances, own.calls * m_instances };
    const auto total = [&](double current, double atLastReport, double others) {
        return current + others + SimilarChoiceFraction * (m_instances - 1) * std::max(0.0, current - atLastReport);
    };
    return { own.engine, total(own.tokenLayers, server.ownLoadAtLastReport.tokenLayers, server.othersLoad.tokenLayers),
        total(own.calls, server.ownLoadAtLastReport.calls, server.othersLoad.calls) };
}

std::optional<Chain> CallPlacer::findChain(
    const Call& call, const EngineModel& model, const Attempt* running, TimePoint now, std::uint64_t entropy) const
{
    const Hop* first = running ? &running->chain.hops().front() : nullptr;
    std::vector<ChainCandidate> candidates;
    std::map<DataCentreId, std::uint32_t> dataCentreIndices { { m_options.dataCentre, 0 } };
    const auto indexOf = [&](const DataCentreId& id) {
        return dataCentreIndices.emplace(id, static_cast<std::uint32_t>(dataCentreIndices.size())).first->second;
    };
    std::uint32_t startDataCentre = 0;
    std::uint64_t jitterIndex = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (first && id == first->backend) {
            startDataCentre = indexOf(entry.dataCentre);
            continue;
        }
        const AcceleratorKind* accelerator = model.kind(entry.accelerator);
        if (entry.service != call.service || !entry.layers.size() || !accelerator)
            continue;
        // An attempt at a dead stage would waste a retry. If no other chain is left, the call waits for one.
        if (!server.isAvailable())
            continue;
        // A closed engine rejects new calls, but continues with streams that already run there.
        if (server.isClosed(now) && !(running && running->chain.contains(id)))
            continue;
        const EngineLoad load = estimatedLoad(server, now);
        const double contextTokens = load.tokenLayers / entry.layers.size() + call.tokens;
        const double slowness = m_options.without.has(Mechanism::SlownessPrice) ? 1 : server.slowness;
        const EngineCost cost(model, *accelerator, entry.layers.size(), contextTokens, slowness);
        if (cost.fill() > m_options.memoryOvercommit && server.ownTokenLayers > 0)
            continue;
        const double keptFactor = running && running->chain.contains(id) ? KeptStageCostFactor : 1;
        const double jitter = 1 + CostJitter * uniformFraction(entropy, ++jitterIndex);
        // A stage processes a new event only after its current pass, which runs all of its layers.
        const double stagePenaltyMs = keptFactor * PassWaitFraction * cost.passMs() + penaltyMs(call, server, now);
        candidates.push_back({ id, entry.address, entry.layers, indexOf(entry.dataCentre),
            keptFactor * cost.marginalMsPerLayer() * jitter, stagePenaltyMs,
            firstStagePenaltyMs(server, load.calls, now) });
    }
    return ChainFinder::find(model.layers, candidates, startDataCentre, first);
}

std::optional<Placement> CallPlacer::findServer(const Call& call, TimePoint now, std::uint64_t entropy) const
{
    const FleetServer* best = nullptr;
    double bestCost = 0;
    std::uint64_t jitterIndex = 0;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        if (entry.service != call.service || !server.mayReceiveCall(now))
            continue;
        if (server.ownCalls >= std::max(1.0, SlotOvercommit * entry.slots / m_instances) + 1)
            continue;
        const double cost = (1 + server.ownCalls) * (1 + FailureRateWeight * server.failureRate)
                * (1 + CostJitter * uniformFraction(entropy, ++jitterIndex))
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
