#include "planning/LayerPlanner.h"

#include "planning/HolderWeights.h"
#include "planning/LayerCoverage.h"

#include <algorithm>
#include <map>
#include <set>

namespace crocusmount {

namespace {

    /// KV cache beside the layers, in tokens, and the copies of the model that the fleet should hold to choose it, best
    /// first. With more of it fewer copies fit; what counts is that streams in flight fit at all, because an engine
    /// that runs out of memory turns calls away or reads the newest one again. A small fleet keeps all its copies, as
    /// each is a large part of it.
    constexpr struct {
        double tokens;
        double copies;
    } KvTargets[] = { { 150000, 6 }, { 110000, 2.5 }, { 88000, 2.5 }, { 60000, 2.5 }, { 40000, 2.5 }, { 25000, 2.5 },
        { 12000, 2.5 }, { 6000, 2.5 }, { 1000, 0 } };
    /// Least gain of a move, for each layer moved: less than what a first holder in a data centre is worth beside one
    /// more where a fast and a slow one are (0.9 against 0.5). A move costs its load, and the engine serves nothing
    /// meanwhile.
    constexpr double MoveThreshold = 0.3;
    /// Orders under way with which no engine is moved: the store of weights is shared, and each takes capacity out.
    constexpr std::size_t MostAtOnce = 2;

    /// Part of its memory for requests that an engine may have in use as it is moved. It serves nothing until the
    /// streams through it have ended, and those that entered there cannot be rerouted.
    constexpr double MostUseOfMoved = 0.1;

    /// Part of the slots that are taken when the memory of a data centre is full.
    constexpr double SlotUse = 0.6;

    /// @return holders of the first layer that each data centre needs, for the calls that fit into its engines' memory
    std::map<DataCentreId, double> entriesNeeded(
        const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double target)
    {
        std::map<DataCentreId, double> needed;
        for (const auto& engine : engines) {
            const auto* kind = model.kind(engine.accelerator);
            if (!kind || engine.leaving)
                continue;
            const double calls = model.kvTokenLayers(*kind, LayerPlanner::layersFor(model, *kind, target))
                / model.layers / model.usualTokens;
            needed[engine.dataCentre] += calls / (SlotUse * std::max(1U, engine.slots));
        }
        return needed;
    }

    /// @return how slow the fleet's cards are, weighed by the layers that they hold beside so much KV cache
    double meanSlowness(
        const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines, double target)
    {
        double layers = 0;
        double slowness = 0;
        for (const auto& engine : engines) {
            const auto* kind = model.kind(engine.accelerator);
            if (!kind || engine.leaving)
                continue;
            const double held = LayerPlanner::layersFor(model, *kind, target);
            layers += held;
            slowness += held * kind->stepFactor;
        }
        return layers > 0 ? slowness / layers : 1;
    }

    double chooseKvTarget(const relay::EngineModel& model, const std::vector<LayerPlanner::Engine>& engines)
    {
        for (const auto& target : KvTargets) {
            double layers = 0;
            for (const auto& engine : engines) {
                const auto* kind = model.kind(engine.accelerator);
                if (kind && !engine.leaving)
                    layers += LayerPlanner::layersFor(model, *kind, target.tokens);
            }
            if (layers >= target.copies * model.layers)
                return target.tokens;
        }
        return KvTargets[std::size(KvTargets) - 1].tokens;
    }

    /// @return whether an engine holds layers and little runs there
    bool isMovable(const relay::EngineModel& model, const LayerPlanner::Engine& engine)
    {
        const auto* kind = model.kind(engine.accelerator);
        if (!kind || engine.leaving || engine.ordered || !engine.held.size())
            return false;
        return engine.tokenLayers <= MostUseOfMoved * model.kvTokenLayers(*kind, engine.held.size());
    }

    /// Finds the engine whose range is worth more elsewhere.
    std::optional<LayerPlanner::Order> bestMove(const relay::EngineModel& model, const HolderWeights& weights,
        const std::vector<LayerPlanner::Engine>& engines, const std::set<BackendId>& moving, LayerCoverage& coverage)
    {
        std::optional<LayerPlanner::Order> best;
        double most = 0;
        for (const auto& engine : engines) {
            if (moving.count(engine.id) || !isMovable(model, engine))
                continue;
            const std::size_t kind = weights.indexOf(engine.accelerator);
            coverage.add(engine.dataCentre, engine.held, kind, -1);
            const LayerRange range = coverage.best(engine.dataCentre, engine.held.size(), kind);
            const double gain
                = coverage.worth(engine.dataCentre, range, kind) - coverage.worth(engine.dataCentre, engine.held, kind);
            coverage.add(engine.dataCentre, engine.held, kind);
            if (gain > MoveThreshold * engine.held.size() && gain > most) {
                most = gain;
                best = LayerPlanner::Order { engine.id, range };
            }
        }
        return best;
    }

} // namespace

std::uint32_t LayerPlanner::layersFor(
    const relay::EngineModel& model, const relay::AcceleratorKind& kind, double kvTokens)
{
    std::uint32_t count = 0;
    while (count < model.layers && model.kvTokenLayers(kind, count + 1) >= kvTokens * (count + 1))
        ++count;
    return count;
}

std::vector<LayerPlanner::Order> LayerPlanner::plan(
    const relay::EngineModel& model, const std::vector<Engine>& engines, const relay::DisabledMechanisms& without)
{
    const double target = chooseKvTarget(model, engines);
    HolderWeights weights(model, meanSlowness(model, engines, target));
    if (without.has(relay::Mechanism::HolderWeights))
        weights.countAllAlike();
    LayerCoverage coverage(model.layers, entriesNeeded(model, engines, target), weights);
    struct Empty {
        std::uint32_t count = 0; ///< layers to hold
        double slowness = 1; ///< of its kind of card
        const Engine* engine = nullptr;
    };
    std::vector<Empty> empty;
    std::size_t underWay = 0;
    for (const Engine& engine : engines) {
        if (engine.leaving)
            continue;
        underWay += engine.ordered ? 1 : 0;
        const LayerRange range = engine.ordered.value_or(engine.held);
        if (range.size()) {
            coverage.add(engine.dataCentre, range, weights.indexOf(engine.accelerator));
            continue;
        }
        const auto* kind = model.kind(engine.accelerator);
        const std::uint32_t count = kind ? layersFor(model, *kind, target) : 0;
        if (count)
            empty.push_back({ count, kind->stepFactor, &engine });
    }
    // Fast cards tile the model first; slow ones fill the gaps that these leave, then stand by.
    std::stable_sort(
        empty.begin(), empty.end(), [](const Empty& a, const Empty& b) { return a.slowness < b.slowness; });
    std::vector<Order> orders;
    for (const Empty& each : empty) {
        const std::size_t index = weights.indexOf(each.engine->accelerator);
        const LayerRange range = coverage.best(each.engine->dataCentre, each.count, index);
        coverage.add(each.engine->dataCentre, range, index);
        orders.push_back({ each.engine->id, range });
    }
    std::set<BackendId> moving;
    const std::size_t most = without.has(relay::Mechanism::Moves) ? 0 : MostAtOnce;
    while (orders.size() + underWay < most) {
        const auto move = bestMove(model, weights, engines, moving, coverage);
        if (!move)
            break;
        const auto engine
            = std::find_if(engines.begin(), engines.end(), [&](const Engine& each) { return each.id == move->engine; });
        const std::size_t kind = weights.indexOf(engine->accelerator);
        coverage.add(engine->dataCentre, engine->held, kind, -1);
        coverage.add(engine->dataCentre, move->layers, kind);
        moving.insert(move->engine);
        orders.push_back(*move);
    }
    return orders;
}

} // namespace crocusmount
