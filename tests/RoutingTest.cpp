#include "crocusmount/ChainPicker.h"
#include "membership/WatchPlan.h"
#include "planning/FlowBound.h"
#include "tests/Tests.h"

#include <map>
#include <set>

using namespace crocusmount;

namespace {

Stage makeStage(const char* id, std::uint32_t index, std::uint32_t begin, std::uint32_t end, double streams = 0)
{
    Stage stage;
    stage.hop = { BackendId(id), "10.0.0.1:1", { begin, end }, Generation(1) };
    stage.index = index;
    stage.streams = streams;
    stage.reportedStreams = streams;
    stage.streamLimit = 10;
    return stage;
}

} // namespace

TEST_GROUP(Routing) {};

TEST(Routing, EveryPickerReturnsACompleteChainOrNothing)
{
    const std::vector<Stage> completeStages { makeStage("a", 0, 0, 2), makeStage("b", 1, 2, 4), makeStage("c", 2, 0, 3),
        makeStage("d", 3, 1, 4) };
    const std::vector<Stage> stagesWithGap { makeStage("a", 0, 0, 2), makeStage("d", 1, 3, 4) };
    for (const char* name : { "flow", "random", "round_robin", "least_reported", "power_of_two" }) {
        const auto picker = ChainPicker::make(name);
        for (std::uint64_t entropy = 0; entropy < 50; ++entropy) {
            const auto chain = picker->pick({ 4, completeStages, entropy });
            CHECK_TRUE_TEXT(chain.has_value(), name);
            CHECK_TEXT("a:0-2@1,b:2-4@1", chain->trace()); // No stage continues after c, and none ends where d begins.
            CHECK_FALSE_TEXT(picker->pick({ 4, stagesWithGap, entropy }).has_value(), name);
        }
    }
    CHECK_TRUE(ChainPicker::make("best") == nullptr);
    CHECK_TRUE(ChainPicker::coversModel({ 4, completeStages }));
    CHECK_FALSE(ChainPicker::coversModel({ 4, stagesWithGap }));
}

TEST(Routing, FlowPickerPrefersLessLoadedStagesAndAvoidsFailedAndLowWeightOnes)
{
    std::vector<Stage> stages { makeStage("a", 0, 0, 4, 9), makeStage("b", 1, 0, 4, 1) };
    CHECK_TEXT("b:0-4@1", ChainPicker::make("flow")->pick({ 4, stages, 1 })->trace());
    stages[1].avoid = true;
    CHECK_TEXT("a:0-4@1", ChainPicker::make("flow")->pick({ 4, stages, 1 })->trace());
    stages[1].avoid = false;
    stages[1].weight = 0.1; // A slow or recently recovered server has a low weight.
    CHECK_TEXT("a:0-4@1", ChainPicker::make("flow")->pick({ 4, stages, 1 })->trace());
}

TEST(Routing, FlowBoundIsTheMaximumFlowOfThePlacement)
{
    const auto makeReport = [](std::uint32_t begin, std::uint32_t end, std::uint32_t slots) {
        return BackendReport { BackendId("x"), "m", { begin, end }, Generation(1), slots, 1000000, 0, false };
    };
    const struct {
        const char* name;
        std::vector<BackendReport> reports;
        double bound;
    } cases[] = {
        { "no reports", {}, 0 },
        { "missing layers", { makeReport(0, 2, 5) }, 0 },
        { "one server", { makeReport(0, 4, 5) }, 5 },
        { "narrowest stage", { makeReport(0, 2, 5), makeReport(2, 4, 3) }, 3 },
        { "replicas add up", { makeReport(0, 2, 5), makeReport(2, 4, 3), makeReport(2, 4, 1), makeReport(0, 4, 2) },
            6 },
        { "layers beyond the model", { makeReport(0, 4, 5), makeReport(0, 9, 50) }, 5 },
    };
    for (const auto& testCase : cases)
        DOUBLES_EQUAL_TEXT(testCase.bound, flowBound(4, testCase.reports), 0.001, testCase.name);
}

TEST(Routing, WatchPlanAssignsAllServersAndRemovingAnInstanceChangesNoOtherSubset)
{
    std::vector<MemberUpdate> members;
    for (int i = 0; i < 20; ++i) {
        MemberUpdate member;
        member.instance = InstanceId("e" + std::to_string(i));
        member.peerAddress = member.instance.value();
        members.push_back(member);
    }
    std::vector<WatchPlan::Backend> backends;
    backends.reserve(60);
    for (int i = 0; i < 60; ++i)
        backends.push_back({ BackendId("b" + std::to_string(i)), i % 2 ? "odd" : "even", true });
    const auto plansOf = [&](const std::vector<MemberUpdate>& live) {
        std::map<InstanceId, WatchPlan> plans;
        for (const MemberUpdate& member : live)
            plans.emplace(member.instance, WatchPlan::make(member.instance, live, backends, 3, 5));
        return plans;
    };
    const auto before = plansOf(members);
    std::map<BackendId, int> watchers;
    std::map<std::string, std::set<BackendId>> reportedTo;
    for (const auto& [instance, plan] : before) {
        for (const BackendId& id : plan.watched())
            ++watchers[id];
        for (const auto& [address, ids] : plan.reportTargets())
            reportedTo[address].insert(ids.begin(), ids.end());
    }
    for (const auto& backend : backends)
        CHECK_EQUAL(3, watchers[backend.id]);
    int usedCount = 0;
    for (const auto& [instance, plan] : before) {
        for (const auto& backend : backends) {
            if (!plan.uses(backend.id))
                continue;
            ++usedCount;
            // An instance that uses a server either receives reports on it or probes it.
            const bool isInformed
                = reportedTo[instance.value()].contains(backend.id) || plan.watched().contains(backend.id);
            CHECK_TRUE(isInformed);
        }
    }
    CHECK_EQUAL(20 * 2 * 5, usedCount);
    members.pop_back();
    const auto after = plansOf(members);
    for (const auto& [instance, plan] : after) {
        for (const auto& backend : backends)
            CHECK_EQUAL(before.at(instance).uses(backend.id), plan.uses(backend.id));
    }
}
