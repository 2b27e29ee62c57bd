// How CallPlacer chooses the chain of a new attempt by predicted times.

#include "relay/CallPlacer.h"
#include "relay/ChainFinder.h"
#include "relay/LoadExchange.h"
#include "relay/Spread.h"
#include "relay/StageTimes.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace crocusmount::relay {

namespace {

    /// Random fraction added to the price of an engine, so that instances with identical information choose different
    /// chains. The chosen chain costs at most this fraction more than the cheapest one.
    constexpr double PriceSpread = 0.2;
    /// Passes in which the longest pause of a stream meets a pass that reads as much as a pass may: the one under way
    /// when the event arrives, and its own.
    constexpr double LongPassesPerPause = 2;

    /// Probability of a rejection at which an engine counts as much slower as a usual chain takes for an event. Each
    /// rejection draws on the retry budget of all instances.
    constexpr double MaxRejectedShare = 0.01;

    /// Probabilities of a rejection for lack of memory from which an engine counts as full for a first call, and for
    /// all calls. In between it counts as full for a share of the calls: if it did for all at once, all instances would
    /// send it nothing until the next reports, and too much after them.
    constexpr double MinShortage = 0.02;
    constexpr double MaxShortage = 0.5;
    /// Share of the pipe between data centres for the prompts of calls that need not cross. Prompts that wait
    /// there for each other delay first events and all events behind them.
    constexpr double MaxPipeShare = 0.02;
    /// Mean age of the load that is known of other instances. Several rounds of reports fit into their lifetime.
    constexpr Duration ReportAge = LoadExchange::ReportLifetime / 3;

    double toMs(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

    /// The engines that a new attempt may use.
    struct UsableEngines {
        std::vector<const FleetServer*> servers; ///< in order of their ids
        std::vector<double> calls; ///< estimated calls of all instances with this engine as first stage
        std::vector<StageTimes> stages; ///< without the call
        double eventMs = 0; ///< mean time of an event over all streams
        bool isAnyFull = false; ///< whether an engine is left out because it is full

        /// @return index of a stage's engine
        std::size_t indexOf(const Hop& hop) const
        {
            const auto found = std::lower_bound(servers.begin(), servers.end(), hop.backend,
                [](const FleetServer* each, const BackendId& id) { return each->entry.id < id; });
            return static_cast<std::size_t>(found - servers.begin());
        }
    };

    /// What the prices of all engines depend on for one call.
    struct CallNeeds {
        double promptTokens = 0;
        double tokens = 0; ///< prompt and expected answer
        double events = 1; ///< expected events of the answer
    };

    /// @param engine  index of the engine
    /// @return whether an engine counts as full for a call; the same for one shortage however often the call is placed
    bool isTakenAsFull(const Call& call, std::size_t engine, double shortage)
    {
        return shortage > MinShortage + (MaxShortage - MinShortage) * uniformFraction(call.id.value(), engine + 1);
    }

    CallNeeds needsOf(const Call& call, const EngineModel& model)
    {
        CallNeeds needs;
        needs.promptTokens = std::min<double>(call.spec.promptTokens, call.tokens);
        needs.tokens = call.tokens;
        needs.events = std::max(1.0, (call.tokens - needs.promptTokens) / model.stride);
        return needs;
    }

    /// @return time of a prompt on the pipe between two data centres, and the delay, in ms
    double promptCrossingMs(const EngineTimes& times, const CallNeeds& needs)
    {
        return times.crossingDelayMs + needs.promptTokens * times.crossingMsPerToken;
    }

    /// The instances do not know how much the pipe between the data centres is used. So only a share of all calls may
    /// cross by choice, so that their prompts take at most MaxPipeShare of it.
    /// @return whether a call may cross; always the same for one call, however often it is placed
    bool mayUsePipe(const Call& call, const EngineTimes& times, const UsableEngines& engines, const EngineModel& model)
    {
        const double promptMs = times.usualPromptTokens * times.crossingMsPerToken;
        const double streamMs = engines.eventMs * times.usualAnswerTokens / model.stride;
        const double streams = std::accumulate(engines.calls.begin(), engines.calls.end(), 0.0);
        if (promptMs <= 0 || streams <= 0)
            return true;
        return uniformFraction(call.id.value(), 0) < MaxPipeShare * streamMs / (promptMs * streams);
    }

    /// @return whether a chain passes from one data centre to another although the engines of the first one, full ones
    ///         included, hold all layers
    bool crossesNeedlessly(const Chain& chain, const UsableEngines& engines, std::uint32_t layers)
    {
        const auto dataCentreOf = [&](const Hop& hop) -> const DataCentreId& {
            return engines.servers[engines.indexOf(hop)]->entry.dataCentre;
        };
        const DataCentreId& first = dataCentreOf(chain.hops().front());
        if (std::all_of(
                chain.hops().begin(), chain.hops().end(), [&](const Hop& hop) { return dataCentreOf(hop) == first; }))
            return false;
        std::vector<bool> isHeld(layers);
        for (const FleetServer* server : engines.servers) {
            const LayerRange& held = server->entry.layers;
            for (std::uint32_t layer = held.begin; server->entry.dataCentre == first && layer < held.end; ++layer) {
                if (layer < layers)
                    isHeld[layer] = true;
            }
        }
        return std::find(isHeld.begin(), isHeld.end(), false) == isHeld.end();
    }

    PredictedTimes predict(const Call& call, const EngineModel& model, const EngineTimes& times, const Chain& chain,
        const UsableEngines& engines, const CallNeeds& needs, TimePoint now)
    {
        PredictedTimes result;
        double longestExtraMs = 0;
        const FleetServer* previous = nullptr;
        for (const Hop& hop : chain.hops()) {
            const std::size_t index = engines.indexOf(hop);
            const StageTimes& stage = engines.stages[index];
            const double eventMs = stage.waitMs() + hop.layers.size() * stage.layerMs();
            result.eventMs += eventMs;
            result.firstEventMs
                += eventMs + stage.backlogMs() + hop.layers.size() * stage.readLayerMs(needs.promptTokens);
            longestExtraMs = std::max(longestExtraMs, stage.longestPassMs() - stage.passMs());
            result.utilisation = std::max(result.utilisation, stage.utilisation());
            if (previous && previous->entry.dataCentre != engines.servers[index]->entry.dataCentre) {
                result.firstEventMs += promptCrossingMs(times, needs);
                result.eventMs += times.crossingDelayMs + model.stride * times.crossingMsPerToken;
            }
            previous = engines.servers[index];
        }
        result.pauseMs = result.eventMs + LongPassesPerPause * longestExtraMs;
        if (!isStream(call.route->kind))
            return result;
        const bool isFirstEventOnTime
            = call.hasPartialAnswer || result.firstEventMs <= toMs(call.route->objective - (now - call.arrived));
        const bool isPauseShort = !call.route->pauseLimit || result.pauseMs <= toMs(*call.route->pauseLimit);
        result.meetsRoute = isFirstEventOnTime && isPauseShort;
        return result;
    }

} // namespace

/// @return price of entering a chain at an engine, in ms; infinite if it may be sent no call or has no slot left
double CallPlacer::entryPriceMs(
    const FleetServer& server, const StageTimes& stage, double calls, double rejectionMs, TimePoint now) const
{
    if (!server.mayReceiveCall(now))
        return std::numeric_limits<double>::infinity();
    if (m_options.without.has(Mechanism::EntryPrice))
        return 0;
    const double knownCalls = server.ownCalls + (m_fleet.knowsOthersLoad() ? server.othersLoad.calls : 0);
    if (knownCalls >= server.entry.slots)
        return std::numeric_limits<double>::infinity();
    return rejectionMs * excessProbability((server.entry.slots - calls) / stage.streamsDeviation(calls));
}

std::optional<Placement> CallPlacer::findByTimes(
    const Call& call, const EngineModel& model, const EngineTimes& times, TimePoint now, std::uint64_t entropy) const
{
    const CallNeeds needs = needsOf(call, model);
    const double usualTokens = times.usualPromptTokens + times.usualAnswerTokens;
    UsableEngines engines;
    for (const auto& [id, server] : m_fleet.servers()) {
        const RegisteredServer& entry = server.entry;
        const AcceleratorKind* accelerator = entry.service == call.service ? model.kind(entry.accelerator) : nullptr;
        if (!entry.layers.size() || !accelerator || !server.isAvailable() || server.isClosed(now))
            continue;
        const EngineLoad load = estimatedLoad(server, now);
        StageLoad stageLoad;
        stageLoad.bookedTokens = load.tokenLayers / entry.layers.size();
        stageLoad.streams = stageLoad.bookedTokens / usualTokens;
        stageLoad.slowness = m_options.without.has(Mechanism::SlownessPrice) ? 1 : server.slowness;
        stageLoad.ageMs = toMs(ReportAge);
        StageTimes stage(model, times, *accelerator, entry.layers.size(), stageLoad);
        engines.servers.push_back(&server);
        engines.calls.push_back(load.calls);
        engines.stages.push_back(stage);
    }
    engines.eventMs = settleEventMs(engines.stages, model.layers);

    const double rejectionMs = engines.eventMs / MaxRejectedShare;

    std::vector<ChainCandidate> candidates;
    std::vector<std::size_t> indices; ///< of the candidates' engines
    candidates.reserve(engines.servers.size());
    std::map<DataCentreId, std::uint32_t> dataCentreIndices { { m_options.dataCentre, 0 } };
    for (std::size_t i = 0; i < engines.servers.size(); ++i) {
        const FleetServer& server = *engines.servers[i];
        const StageTimes& stage = engines.stages[i];
        // An idle engine takes a call that is estimated to be too large.
        if (m_fleet.knowsOthersLoad() && stage.streams() >= 1
            && isTakenAsFull(call, i, stage.memoryShortage(needs.tokens))) {
            engines.isAnyFull = true;
            continue;
        }
        const auto dataCentre
            = dataCentreIndices.emplace(server.entry.dataCentre, static_cast<std::uint32_t>(dataCentreIndices.size()));
        const double spread = 1 + PriceSpread * uniformFraction(entropy, i + 1);
        ChainCandidate candidate { server.entry.id, server.entry.address, server.entry.layers,
            dataCentre.first->second };
        candidate.msPerLayer
            = spread * (stage.layerMs() + stage.othersLayerMs() + stage.readLayerMs(needs.promptTokens) / needs.events);
        candidate.penaltyMs = spread * (stage.waitMs() + rejectionMs * stage.memoryShortage(needs.tokens))
            + penaltyMs(call, server, now);
        candidate.entryPenaltyMs = spread * entryPriceMs(server, stage, engines.calls[i], rejectionMs, now);
        candidates.push_back(std::move(candidate));
        indices.push_back(i);
    }
    ChainCosts costs;
    costs.crossingMs = std::max(costs.crossingMs, promptCrossingMs(times, needs));
    const bool mayCross = mayUsePipe(call, times, engines, model);
    if (!mayCross)
        costs.crossingMs = rejectionMs;
    auto chain = ChainFinder::find(model.layers, candidates, 0, nullptr, costs);
    if (!chain)
        return std::nullopt;
    // While engines are full, the call waits for one, unless its data centre lacks layers.
    if (!mayCross && engines.isAnyFull && crossesNeedlessly(*chain, engines, model.layers))
        return std::nullopt;
    PredictedTimes predicted = predict(call, model, times, *chain, engines, needs, now);
    if (!predicted.meetsRoute) {
        // A call that would be late there takes the chain that is fastest for itself, if that one is on time.
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const StageTimes& stage = engines.stages[indices[i]];
            candidates[i].msPerLayer = stage.layerMs() + stage.readLayerMs(needs.promptTokens);
            candidates[i].penaltyMs = stage.waitMs() + stage.backlogMs()
                + rejectionMs * stage.memoryShortage(needs.tokens) + penaltyMs(call, *engines.servers[indices[i]], now);
        }
        auto fastest = ChainFinder::find(model.layers, candidates, 0, nullptr, costs);
        const PredictedTimes fastestTimes
            = fastest ? predict(call, model, times, *fastest, engines, needs, now) : PredictedTimes {};
        if (fastest && fastestTimes.meetsRoute) {
            chain = std::move(fastest);
            predicted = fastestTimes;
        }
    }
    const Hop& first = chain->hops().front();
    return Placement { first.backend, first.address, *chain, predicted };
}

} // namespace crocusmount::relay
