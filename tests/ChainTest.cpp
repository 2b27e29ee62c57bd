#include "crocusmount/Chain.h"
#include "tests/Tests.h"

using namespace crocusmount;

namespace {

Hop hop(const char* id, std::uint32_t begin, std::uint32_t end)
{
    return { BackendId(id), "10.0.0.1:1", { begin, end }, Generation(1) };
}

} // namespace

TEST_GROUP(Chain) {};

TEST(Chain, IsCreatedOnlyFromRangesThatCoverTheModelOnce)
{
    const struct {
        const char* name;
        std::vector<Hop> hops;
        bool isValid;
    } cases[] = {
        { "one stage", { hop("a", 0, 4) }, true },
        { "two stages", { hop("a", 0, 2), hop("b", 2, 4) }, true },
        { "no stage", {}, false },
        { "gap", { hop("a", 0, 1), hop("b", 2, 4) }, false },
        { "overlap", { hop("a", 0, 3), hop("b", 2, 4) }, false },
        { "wrong order", { hop("b", 2, 4), hop("a", 0, 2) }, false },
        { "starts after the first layer", { hop("a", 1, 4) }, false },
        { "ends before the last layer", { hop("a", 0, 3) }, false },
        { "ends after the last layer", { hop("a", 0, 5) }, false },
        { "empty range", { hop("a", 0, 0), hop("b", 0, 4) }, false },
        { "reversed range", { hop("a", 4, 0) }, false },
        { "repeated stage", { hop("a", 0, 2), hop("a", 0, 2), hop("b", 2, 4) }, false },
    };
    for (const auto& each : cases)
        CHECK_EQUAL_TEXT(each.isValid, Chain::make(4, each.hops).ok(), each.name);
}

TEST(Chain, TraceNamesEachStageInOrder)
{
    const auto chain = Chain::make(4, { hop("a", 0, 2), hop("b", 2, 4) });
    CHECK_TEXT("a:0-2@1,b:2-4@1", chain->trace());
}
