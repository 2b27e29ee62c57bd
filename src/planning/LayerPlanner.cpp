#include "planning/LayerPlanner.h"

#include "planning/HolderWeights.h"
#include "planning/LayerCoverage.h"

#include <algorithm>
#include <map>
#include <set>

namespace crocusmount {

namespace {

    /// Sizes of the KV cache beside the layers, in order of preference. The first size is chosen with which the
    /// fleet still holds minCopies copies of the model. A larger KV cache leaves room for fewer copies, but the running
    /// streams must fit: an engine that runs out of memory rejects calls or processes the newest prompt again. A small
    /// fleet gets a small KV cache and keeps all its copies, because each copy is a large part of the fleet.
    constexpr struct {
        double kvTokens;
        double minCopies;
    } KvTargets[] = { { 150000, 6 }, { 110000, 2.5 }, { 88000, 2.5 }, { 60000, 2.5 }, { 40000, 2.5 }, { 25000, 2.5 },
        { 12000, 2.5 }, { 6000, 2.5 }, { 1000, 0 } };
    /// Minimum gain of a move per layer. A move has to pay for loading the layers, during which the engine serves
    /// nothing. The limit allows a move from beside a fast and a slow holder, where one more is worth 0.5, to a data
    /// centre without a holder, where the first is worth 0.9.
    constexpr double MinMoveGain = 0.3;
    /// No engine is moved while this many orders are being carried out. Engines load from one shared store of weights,
    /// and each order takes capacity away.
    constexpr std::size_t MaxOrdersUnderWay = 2;

    /// Maximum share of an engine's KV cache that is in use when the engine is moved. A moved engine serves nothing
    /// until the streams through it have ended, and streams that entered the chain there cannot be rerouted.
    constexpr double MaxKvUseOfMovedEngine = 0.1;

    /// Expected share of the slots in use when the memory of a data centre is full.
    constexpr double SlotUseAtFullMemory = 0.6;

    /// @return the number of holders of the first layer that each data centre needs to have enough slots for the calls
    ///         that fit into the memory of its engines
    std::map<DataCentreId, double> requiredEntries(
        const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double kvTarget)
    {
        std::map<DataCentreId, double> needed;
        for (const auto& engine : engines) {
            const auto* kind = model.kind(engine.accelerator);
            if (!kind || engine.leaving)
                continue;
            const double calls = model.kvTokenLayers(*kind, LayerPlanner::layersThatFit(model, *kind, kvTarget))
                / model.layers / model.usualTokens;
            needed[engine.dataCentre] += calls / (SlotUseAtFullMemory * std::max(1U, engine.slots));
        }
        return needed;
    }

    /// @return the mean stepFactor of the fleet's accelerators, weighted by the layers that fit beside the KV cache
    double meanSlowness(
        const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double kvTarget)
    {
        double layers = 0;
        double slowness = 0;
        for (const auto& engine : engines) {
            const auto* kind = model.kind(engine.accelerator);
            if (!kind || engine.leaving)
                continue;
            const double held = LayerPlanner::layersThatFit(model, *kind, kvTarget);
            layers += held;
            slowness += held * kind->stepFactor;
        }
        return layers > 0 ? slowness / layers : 1;
    }

    /// @return the size of the KV cache beside the layers, in tokens
    double chooseKvTarget(const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines)
    {
        for (const auto& candidate : KvTargets) {
            double layers = 0;
            for (const auto& engine : engines) {
                const auto* kind = model.kind(engine.accelerator);
                if (kind && !engine.leaving)
                    layers += LayerPlanner::layersThatFit(model, *kind, candidate.kvTokens);
            }
            if (layers >= candidate.minCopies * model.layers)
                return candidate.kvTokens;
        }
        return KvTargets[std::size(KvTargets) - 1].kvTokens;
    }

    /// @return whether an engine holds layers, has no pending order and little of its KV cache is in use
    bool isMovable(const relay::EngineModel& model, const LayerPlanner::Engine& engine)
    {
        const auto* kind = model.kind(engine.accelerator);
        if (!kind || engine.leaving || engine.ordered || !engine.held.size())
            return false;
        return engine.tokenLayers <= MaxKvUseOfMovedEngine * model.kvTokenLayers(*kind, engine.held.size());
    }

    /// @param alreadyMoved  engines to leave out
    /// @param coverage      unchanged on return
    /// @return the move with the highest gain, if any gains more than MinMoveGain per layer
    std::optional<LayerPlanner::Order> findBestMove(const relay::EngineModel& model, const HolderWeights& weights,
        const std::vector<LayerPlanner::Engine>& engines, const std::set<BackendId>& alreadyMoved,
        LayerCoverage& coverage)
    {
        std::optional<LayerPlanner::Order> best;
        double highestGain = 0;
        for (const auto& engine : engines) {
            if (alreadyMoved.count(engine.id) || !isMovable(model, engine))
                continue;
            const std::size_t kind = weights.indexOf(engine.accelerator);
            coverage.add(engine.dataCentre, engine.held, kind, -1);
            const LayerRange range = coverage.bestRange(engine.dataCentre, engine.held.size(), kind);
            const double gain = coverage.marginalValue(engine.dataCentre, range, kind)
                - coverage.marginalValue(engine.dataCentre, engine.held, kind);
            coverage.add(engine.dataCentre, engine.held, kind);
            if (gain > MinMoveGain * engine.held.size() && gain > highestGain) {
                highestGain = gain;
                best = LayerPlanner::Order { engine.id, range };
            }
        }
        return best;
    }

} // namespace

std::uint32_t LayerPlanner::layersThatFit(
    const relay::EngineModel& model, const relay::AcceleratorKind& kind, double kvTokens)
{
    std::uint32_t count = 0;
    while (count < model.layers && model.kvTokenLayers(kind, count + 1) >= kvTokens * (count + 1))
        ++count;
    return count;
}

std::vector<LayerPlanner::Order> LayerPlanner::plan(
    const relay::EngineModel& model, const std::vector<Engine>& engines, const relay::DisabledMechanisms& disabled)
{
    const double kvTarget = chooseKvTarget(model, engines);
    HolderWeights weights(model, meanSlowness(model, engines, kvTarget));
    if (disabled.has(relay::Mechanism::HolderWeights))
        weights.weighAllEqually();
    LayerCoverage coverage(model.layers, requiredEntries(model, engines, kvTarget), weights);
    struct EmptyEngine {
        std::uint32_t layerCount = 0; ///< number of layers to hold
        double slowness = 1; ///< AcceleratorKind::stepFactor of the engine
        const Engine* engine = nullptr;
    };
    std::vector<EmptyEngine> emptyEngines;
    std::size_t ordersUnderWay = 0;
    for (const Engine& engine : engines) {
        if (engine.leaving)
            continue;
        ordersUnderWay += engine.ordered ? 1 : 0;
        const LayerRange range = engine.ordered.value_or(engine.held);
        if (range.size()) {
            coverage.add(engine.dataCentre, range, weights.indexOf(engine.accelerator));
            continue;
        }
        const auto* kind = model.kind(engine.accelerator);
        const std::uint32_t count = kind ? layersThatFit(model, *kind, kvTarget) : 0;
        if (count)
            emptyEngines.push_back({ count, kind->stepFactor, &engine });
    }
    // Fast engines are placed first and cover the model. Slow engines fill the remaining gaps, then serve as spares.
    std::stable_sort(emptyEngines.begin(), emptyEngines.end(),
        [](const EmptyEngine& a, const EmptyEngine& b) { return a.slowness < b.slowness; });
    std::vector<Order> orders;
    for (const EmptyEngine& each : emptyEngines) {
        const std::size_t index = weights.indexOf(each.engine->accelerator);
        const LayerRange range = coverage.bestRange(each.engine->dataCentre, each.layerCount, index);
        coverage.add(each.engine->dataCentre, range, index);
        orders.push_back({ each.engine->id, range });
    }
    std::set<BackendId> moved;
    const std::size_t maxOrders = disabled.has(relay::Mechanism::Moves) ? 0 : MaxOrdersUnderWay;
    while (orders.size() + ordersUnderWay < maxOrders) {
        const auto move = findBestMove(model, weights, engines, moved, coverage);
        if (!move)
            break;
        const auto engine
            = std::find_if(engines.begin(), engines.end(), [&](const Engine& each) { return each.id == move->engine; });
        const std::size_t kind = weights.indexOf(engine->accelerator);
        coverage.add(engine->dataCentre, engine->held, kind, -1);
        coverage.add(engine->dataCentre, move->layers, kind);
        moved.insert(move->engine);
        orders.push_back(*move);
    }
    return orders;
}

} // namespace crocusmount
