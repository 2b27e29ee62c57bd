#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <cstring>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(RelayReducerQueue)
{
    std::uint64_t nextId = 1000;

    static RelayOptions without(const char* names)
    {
        RelayOptions options;
        options.without = *DisabledMechanisms::make(names);
        return options;
    }

    /// Sends a call with a number of tokens, 1 of them in the answer.
    /// @param content  that the call shares with its repeats; 0: with no other
    /// @return whether it was started at once
    bool starts(
        RelayHarness & harness, std::uint32_t tokens, const std::string& path = "/draft/1", std::uint64_t content = 0)
    {
        const RequestId id(nextId++);
        CallSpec spec;
        spec.host = "h.example";
        spec.path = path;
        spec.key = "key";
        spec.callerTimeout = std::chrono::seconds(20);
        spec.promptTokens = tokens - 1;
        spec.maxAnswerTokens = 1;
        const std::uint64_t number = content ? content : id.value();
        std::memcpy(spec.content.bytes.data(), &number, sizeof(number));
        harness.send(relay::event::CallArrived { id, spec });
        const auto start = harness.last<relay::effect::StartAttempt>();
        return start && start->call == id;
    }

    /// Lets calls begin and end at 10 a second, so that two are served within the longest wait of 250 ms.
    static void learnRates(RelayHarness & harness)
    {
        for (int i = 0; i < 30; ++i) {
            const auto running = harness.running("/draft/1");
            harness.send(relay::event::AnswerBegun { running.attempt });
            harness.tick(milliseconds(100));
            harness.send(relay::event::AttemptEnded { running.attempt, AttemptResult::Completed, 200, "" });
        }
    }

    /// Fills the memory of all engines but for calls of less than about 60,000 tokens.
    /// @return one of the two calls that do
    relay::effect::StartAttempt fill(RelayHarness & harness)
    {
        CHECK_TRUE(starts(harness, 240000));
        CHECK_TRUE(starts(harness, 240000));
        return *harness.last<relay::effect::StartAttempt>();
    }
};

TEST(RelayReducerQueue, ASmallCallPassesOneThatIsTooLarge)
{
    for (const bool isEnabled : { true, false }) {
        RelayHarness harness(isEnabled ? RelayOptions() : without("queue-bypass"));
        fill(harness);
        CHECK_FALSE(starts(harness, 160000));
        CHECK_EQUAL(1U, harness.reducer().waitingCalls());
        CHECK_EQUAL(isEnabled, starts(harness, 100));
        CHECK_EQUAL(isEnabled ? 1U : 2U, harness.reducer().waitingCalls());
    }
}

TEST(RelayReducerQueue, ACallThatWasPassedIsTheNextOnceItFits)
{
    RelayHarness harness;
    const auto running = fill(harness);
    const RequestId large(nextId);
    CHECK_FALSE(starts(harness, 160000));
    CHECK_TRUE(starts(harness, 100));
    CHECK_FALSE(starts(harness, 160000));
    harness.send(relay::event::AttemptEnded { running.attempt, AttemptResult::Completed, 200, "" });
    CHECK_TRUE(harness.last<relay::effect::StartAttempt>()->call == large);
    CHECK_EQUAL(1U, harness.reducer().waitingCalls());
}

TEST(RelayReducerQueue, ALessUrgentCallDoesNotPassAMoreUrgentOne)
{
    RelayHarness harness;
    ServiceConfiguration configuration = RelayHarness::configuration(2);
    configuration.routes[1].rank = 7; // "/once/", behind the others
    harness.send(relay::event::ConfigurationAccepted { RouteTable::make(configuration) });
    fill(harness);
    CHECK_FALSE(starts(harness, 160000));
    CHECK_FALSE(starts(harness, 100, "/once/1"));
    CHECK_TRUE(starts(harness, 100));
}

TEST(RelayReducerQueue, ACallWhoseTurnComesTooLateIsRefusedAtOnce)
{
    RelayHarness harness;
    learnRates(harness);
    fill(harness);
    std::size_t refused = 0;
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(starts(harness, 160000));
        refused += harness.last<relay::effect::Refuse>().has_value() ? 1 : 0;
    }
    CHECK_EQUAL(3U, harness.reducer().waitingCalls());
    CHECK_EQUAL(7U, refused);
    CHECK_TRUE(harness.last<relay::effect::LogShortage>()->cause == ShortageCause::ForeseenTooLate);
    // No more calls end, so that the turns of those behind the first come too late.
    harness.tick(milliseconds(200));
    CHECK_EQUAL(1U, harness.reducer().waitingCalls());
}

TEST(RelayReducerQueue, ACallerThatReturnsInItsSlotIsKnownAtAnyInstance)
{
    struct Case {
        const char* name;
        Duration offset; ///< of the return to the time that the caller was given
        bool isKnownElsewhere; ///< another instance gave the time
        bool isKnown;
    };
    const Case cases[] = { { "on time", Duration(0), false, true }, { "too early", milliseconds(-550), false, false },
        { "too late", milliseconds(1100), false, false }, { "at another instance", Duration(0), true, true } };
    for (const Case& each : cases) {
        RelayHarness harness;
        RelayHarness other;
        learnRates(harness);
        learnRates(other);
        RelayHarness& refusing = each.isKnownElsewhere ? other : harness;
        fill(refusing);
        while (!refusing.last<relay::effect::Refuse>())
            starts(refusing, 160000);
        const std::uint64_t content = nextId - 1;
        const auto refusal = *refusing.last<relay::effect::Refuse>();
        const auto share = refusing.last<relay::effect::ShareReturn>();
        CHECK_TRUE_TEXT(share.has_value(), each.name);
        if (each.isKnownElsewhere)
            harness.send(relay::event::LoadsReported { std::nullopt, { share->promise } });
        harness.tick(refusal.retryAfter + each.offset);
        starts(harness, 100, "/draft/1", content);
        const auto seen = harness.last<relay::effect::LogReturn>();
        CHECK_EQUAL_TEXT(each.isKnown, seen && !seen->isEarly, each.name);
        CHECK_EQUAL_TEXT(each.isKnown ? 1U : 0U, harness.reducer().counters().returnsOnTime, each.name);
    }
}
