#include "relay/ServerPath.h"
#include "relay/ServerContacts.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;

TEST_GROUP(ServerPath) {};

TEST(ServerPath, OnlyServersThatAnswerOthersShowThatAnInstanceIsCutOff)
{
    const Duration shortly = milliseconds(300);
    const Duration longer = milliseconds(1200);
    const struct {
        const char* name;
        PathEvidence evidence;
        ServerPath current;
        ServerPath expected;
        bool isInDoubt;
    } cases[] = {
        { "nothing known", {}, ServerPath::Unknown, ServerPath::Unknown, false },
        { "answered", { true, 0, 0, {}, 3, 2, 2 }, ServerPath::Unknown, ServerPath::Reachable, false },
        { "one server failed", { true, 1, 1, longer, 3, 2, 2 }, ServerPath::Reachable, ServerPath::Unknown, false },
        { "several failed just now", { true, 5, 5, milliseconds(100), 5 }, ServerPath::Reachable, ServerPath::Unknown,
            false },
        { "several failed", { true, 5, 5, shortly, 5 }, ServerPath::Reachable, ServerPath::Unknown, true },
        { "several failed for long", { true, 5, 5, longer, 5 }, ServerPath::Reachable, ServerPath::CutOff, true },
        { "they failed for all", { true, 5, 0, longer, 5 }, ServerPath::Reachable, ServerPath::Unknown, true },
        { "all but one failed for all", { true, 5, 1, longer, 5 }, ServerPath::Reachable, ServerPath::Unknown, true },
        { "others are unknown", { false, 5, 0, longer, 5 }, ServerPath::Reachable, ServerPath::Unknown, false },
        { "still failing", { true, 5, 0, longer, 5 }, ServerPath::CutOff, ServerPath::CutOff, true },
        { "others have become unknown", { false, 5, 0, longer, 5 }, ServerPath::CutOff, ServerPath::CutOff, true },
        { "answered just now", { true, 0, 0, {}, 3, 3, 3 }, ServerPath::CutOff, ServerPath::CutOff, true },
        { "one server answers", { true, 0, 0, {}, 6, 6, 1 }, ServerPath::CutOff, ServerPath::CutOff, true },
        { "one check in three is answered", { true, 2, 2, shortly, 6, 2, 2 }, ServerPath::CutOff, ServerPath::CutOff,
            true },
        { "most are answered", { true, 1, 0, shortly, 6, 4, 4 }, ServerPath::CutOff, ServerPath::Reachable, true },
        { "all are answered", { true, 0, 0, {}, 6, 6, 5 }, ServerPath::CutOff, ServerPath::Reachable, true },
        { "others were answered just now", { true, 5, 0, longer, 5, 0, 0, shortly }, ServerPath::CutOff,
            ServerPath::CutOff, true },
        { "nobody is answered any more", { true, 5, 0, longer, 5, 0, 0, longer }, ServerPath::CutOff,
            ServerPath::Unknown, true },
        { "nobody is answered, and the path was not in doubt", { true, 5, 0, longer, 5, 0, 0, longer },
            ServerPath::Reachable, ServerPath::Unknown, true },
    };
    for (const auto& each : cases) {
        CHECK_TRUE_TEXT(each.expected == classifyPath(each.evidence, each.current), each.name);
        CHECK_EQUAL_TEXT(each.isInDoubt, isPathInDoubt(each.evidence, each.current), each.name);
    }
}

TEST(ServerPath, AnAnsweredContactEndsTheFailuresBeforeIt)
{
    ServerContacts contacts;
    const auto at = [](int ms) { return timePoint(1000000) + milliseconds(ms); };
    contacts.recordAnswer(BackendId("a"), at(0), at(2));
    contacts.recordAnswer(BackendId("a"), at(10), at(12));
    contacts.recordFailure(BackendId("a"), at(20), at(100));
    contacts.recordFailure(BackendId("c"), at(30), at(110));
    CHECK_EQUAL(2U, contacts.failed().size());
    CHECK_TRUE(contacts.failingFor(at(120)) == milliseconds(100));
    // The contact began before the path was lost.
    contacts.recordAnswer(BackendId("b"), at(15), at(130));
    CHECK_EQUAL(2U, contacts.failed().size());
    contacts.forget(BackendId("c"));
    CHECK_EQUAL(1U, contacts.failed().size());
    CHECK_EQUAL(4U, contacts.recent(at(130)).contacts);
    CHECK_EQUAL(2U, contacts.recent(at(130)).answered);
    CHECK_EQUAL(1U, contacts.recent(at(130)).answeringServers);
    contacts.recordAnswer(BackendId("b"), at(140), at(142));
    CHECK_EQUAL(0U, contacts.failed().size());
    CHECK_TRUE(contacts.failingFor(at(150)) == Duration(0));
    CHECK_EQUAL(0U, contacts.recent(at(5000)).contacts);
}

// An instance whose servers answered each check late stayed cut off: a check counted as unanswered and as answered.
TEST(ServerPath, AnInstanceReturnsWhenAllItsChecksAreAnsweredLate)
{
    ServerContacts contacts;
    const auto at = [](int ms) { return timePoint(1000000) + milliseconds(ms); };
    for (int check = 0; check < 6; ++check) {
        const BackendId server(check % 2 ? "a" : "b");
        contacts.recordFailure(server, at(200 * check), at(200 * check + 80));
        contacts.recordLateAnswer(server, at(200 * check + 1), at(200 * check + 190));
    }
    const ServerContacts::Recent recent = contacts.recent(at(1200));
    CHECK_EQUAL(6U, recent.contacts);
    CHECK_EQUAL(6U, recent.answered);
    const PathEvidence evidence { true, 0, 0, {}, recent.contacts, recent.answered, recent.answeringServers };
    CHECK_TRUE(classifyPath(evidence, ServerPath::CutOff) == ServerPath::Reachable);
}
