#include "planning/LayerCompletion.h"
#include "planning/LayerPlanner.h"
#include "tests/Tests.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

using namespace crocusmount;
using namespace crocusmount::relay;

namespace {

constexpr int Seeds = 40;

EngineModel largeModel()
{
    EngineModel model;
    model.layers = 80;
    model.layerMb = 1750;
    model.kvBytesPerToken = 590000;
    model.stepMs = 1.02;
    model.stride = 4;
    model.loadSeconds = 14;
    model.kinds = { { "a100", 72000, 2.4 }, { "v100", 14400, 5.3 }, { "l4", 21600, 16 } };
    return model;
}

/// @return a number from 0 to less than the bound
std::uint32_t draw(std::mt19937_64& random, std::uint32_t bound)
{
    return static_cast<std::uint32_t>(random() % bound);
}

/// @return engines that hold any ranges, some of them as many layers as fit with less cache
std::vector<LayerPlanner::Engine> anyHolders(const EngineModel& model, std::uint32_t count, std::mt19937_64& random)
{
    std::vector<LayerPlanner::Engine> engines;
    const std::uint32_t clusters = 1 + draw(random, 4); // Where holders crowd, others have gaps.
    for (std::uint32_t i = 0; i < count; ++i) {
        LayerPlanner::Engine engine;
        engine.id = BackendId("e" + std::to_string(i));
        engine.dataCentre = DataCentreId(std::string(1, static_cast<char>('a' + draw(random, 3))));
        const std::uint32_t drawn = draw(random, 10);
        const AcceleratorKind& kind = model.kinds[drawn < 1 ? 0 : drawn < 6 ? 1 : 2];
        engine.accelerator = kind.name;
        engine.slots = 192;
        const std::uint32_t length = LayerPlanner::layersThatFit(model, kind, draw(random, 2) ? 1000 : 12000);
        const std::uint32_t places = model.layers - std::min(length, model.layers - 1);
        const std::uint32_t begin = draw(random, 2) ? draw(random, places) : places * draw(random, clusters) / clusters;
        engine.held = { begin, std::min(begin + length, model.layers) };
        engines.push_back(engine);
    }
    return engines;
}

std::vector<int> holdersOf(const EngineModel& model, const std::vector<LayerPlanner::Engine>& engines)
{
    std::vector<int> holders(model.layers);
    for (const auto& engine : engines) {
        for (std::uint32_t layer = engine.held.begin; layer < engine.held.end; ++layer)
            ++holders[layer];
    }
    return holders;
}

bool isComplete(const std::vector<int>& holders)
{
    return std::all_of(holders.begin(), holders.end(), [](int count) { return count > 0; });
}

bool haveRoom(const EngineModel& model, const std::vector<LayerPlanner::Engine>& engines)
{
    std::uint32_t room = 0;
    for (const auto& engine : engines)
        room += LayerPlanner::layersThatFit(model, *model.kind(engine.accelerator), 1000);
    return room >= model.layers;
}

/// Carries orders out. What an engine gives up is gone before it holds the new layers.
/// @return whether no engine gave up the only copy of a layer
bool carryOut(const EngineModel& model, std::vector<LayerPlanner::Engine>& engines,
    const std::vector<LayerPlanner::Order>& orders)
{
    const std::vector<int> before = holdersOf(model, engines);
    std::vector<int> during = before;
    for (const auto& order : orders) {
        auto& engine
            = *std::find_if(engines.begin(), engines.end(), [&](const auto& each) { return each.id == order.engine; });
        for (std::uint32_t layer = engine.held.begin; layer < engine.held.end; ++layer)
            during[layer] -= layer < order.layers.begin || layer >= order.layers.end ? 1 : 0;
        engine.held = order.layers;
    }
    for (std::uint32_t layer = 0; layer < model.layers; ++layer) {
        if (before[layer] > 0 && during[layer] <= 0)
            return false;
    }
    return true;
}

} // namespace

TEST_GROUP(LayerCompletion) {};

// Guards against a service that stays without a holder of some layers although its engines have room for all.
TEST(LayerCompletion, EveryLayerGetsAHolderWhateverTheEnginesHold)
{
    const EngineModel model = largeModel();
    for (const std::uint32_t count : { 17U, 38U, 93U, 295U }) {
        int gapsClosed = 0;
        for (int seed = 1; seed <= (count > 100 ? Seeds / 10 : Seeds); ++seed) {
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            auto engines = anyHolders(model, count, random);
            if (!haveRoom(model, engines))
                continue;
            gapsClosed += isComplete(holdersOf(model, engines)) ? 0 : 1;
            const std::string text = absl::StrCat(count, " engines, seed ", seed);
            std::size_t orderCount = 0;
            while (!isComplete(holdersOf(model, engines)) && orderCount <= 2 * count) {
                const auto orders = LayerPlanner::plan(model, engines);
                CHECK_FALSE_TEXT(orders.empty(), text.c_str());
                CHECK_TRUE_TEXT(carryOut(model, engines, orders), text.c_str());
                orderCount += orders.size();
            }
            CHECK_TRUE_TEXT(isComplete(holdersOf(model, engines)), text.c_str());
            // Moves that follow for their gain leave the model complete.
            for (int i = 0; i < 5; ++i)
                CHECK_TRUE_TEXT(carryOut(model, engines, LayerPlanner::plan(model, engines)), text.c_str());
            CHECK_TRUE_TEXT(isComplete(holdersOf(model, engines)), text.c_str());
        }
        if (count <= 38)
            CHECK_TRUE(gapsClosed > 0);
    }
}

// An overlap far from the gap reaches it by a shift of each engine in between.
TEST(LayerCompletion, OverlapsAreShiftedToTheGap)
{
    const auto engine = [](const char* id, std::uint32_t begin, std::uint32_t end) {
        return LayerCompletion::Engine { BackendId(id), { begin, end }, { begin, end }, end - begin, true };
    };
    constexpr std::uint32_t Layers = 9;
    const std::vector<LayerCompletion::Engine> cases[] = {
        { engine("a", 0, 4), engine("b", 2, 6), engine("c", 6, 8) },
        { engine("a", 1, 4), engine("b", 4, 7), engine("c", 6, 9) },
        { engine("a", 0, 2), engine("b", 3, 5), engine("c", 4, 7), engine("d", 6, 9) },
    };
    for (auto held : cases) {
        for (int i = 0; i < 20; ++i) {
            const auto move = LayerCompletion(Layers, held).nextMove();
            if (!move)
                break;
            for (auto& each : held) {
                if (each.id == move->engine)
                    each.held = each.planned = move->layers;
            }
        }
        CHECK_TRUE(LayerCompletion(Layers, held).isComplete());
    }
}
