#include "relay/SilenceEvidence.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(SilenceEvidence) {};

TEST(SilenceEvidence, ClassifiesBySilenceInGaps)
{
    const struct {
        int silenceMs;
        int gapMs;
        StreamSilence expected;
    } cases[] = {
        { 50, 40, StreamSilence::Progressing },
        { 61, 40, StreamSilence::Overdue },
        { 81, 40, StreamSilence::Silent },
        { 121, 40, StreamSilence::LongSilent },
        { 39, 5, StreamSilence::Progressing },
        { 59, 5, StreamSilence::Overdue },
    };
    for (const auto& each : cases) {
        const auto found = SilenceEvidence::classify(milliseconds(each.silenceMs), milliseconds(each.gapMs));
        CHECK_TRUE_TEXT(each.expected == found, std::to_string(each.silenceMs).c_str());
    }
}

// "a" and "b" are lost together. "s" is in all streams, but another one had an event through it since.
TEST(SilenceEvidence, ExplainsTwoLossesAndSparesASharedStage)
{
    const TimePoint now = timePoint(1000000);
    const TimePoint last = now - milliseconds(120);
    const auto stage = [&](const char* id) { return SilenceEvidence::Stage { BackendId(id), last }; };
    const SilenceEvidence::Stage shared { BackendId("s"), now - milliseconds(5) };
    SilenceEvidence evidence;
    for (const char* other : { "k", "l", "m" })
        evidence.addSilent({ stage("a"), shared, stage(other) }, last, milliseconds(50), StreamSilence::Silent, now);
    for (const char* other : { "n", "o" })
        evidence.addSilent({ shared, stage("b"), stage(other) }, last, milliseconds(50), StreamSilence::Silent, now);
    const auto suspects = evidence.explain(7);
    CHECK_EQUAL(2U, suspects.size());
    CHECK_TRUE(suspects[0].engine == BackendId("a"));
    CHECK_EQUAL(3U, suspects[0].silentStreams);
    CHECK_TRUE(suspects[1].engine == BackendId("b"));
    CHECK_TRUE(suspects[0].isStrong && suspects[1].isStrong);
}
