#include "relay/RequestQuarantine.h"
#include "edge/PeerDatagram.h"
#include "relay/CrashEvidence.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"

#include <functional>

using namespace crocusmount;
using namespace crocusmount::relay;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

RequestTrait request(std::uint8_t number, const char* workspace = "w")
{
    ContentDigest content;
    content.bytes[0] = number;
    return { WorkspaceId(workspace), content };
}

RequestTrait part(const char* id, const char* workspace = "w") { return { WorkspaceId(workspace), PromptPartId(id) }; }

/// @return the traits of a request with one part, as its instance sees them
std::vector<RequestTrait> traitsOf(std::uint8_t number, const char* id, const char* workspace)
{
    return { request(number, workspace), part(id, workspace), part(id, workspace).ofAllWorkspaces() };
}

CrashReport report(std::uint8_t number, std::uint64_t server, CrashSign sign = CrashSign::JustBegun)
{
    return { { { request(number) }, sign }, server };
}

/// @param since  time since the start of a test
TimePoint at(Duration since) { return timePoint(1000000) + since; }

} // namespace

TEST_GROUP(RequestQuarantine) {};

TEST(RequestQuarantine, ARequestIsQuarantinedOnceEnoughDifferentServersEnd)
{
    const auto begun = CrashSign::JustBegun;
    const auto waiting = CrashSign::Waiting;
    const struct {
        const char* name;
        std::vector<CrashReport> reports;
        bool isQuarantined;
    } cases[] = {
        { "three servers had just begun to run it", { report(1, 1), report(1, 2), report(1, 3) }, true },
        { "two servers had just begun to run it", { report(1, 1), report(1, 2) }, false },
        { "three reports of one server", { report(1, 1), report(1, 1), report(1, 1) }, false },
        { "three requests with one server each", { report(1, 1), report(2, 2), report(3, 3) }, false },
        { "it was waiting at five servers",
            { report(1, 1, waiting), report(1, 2, waiting), report(1, 3, waiting), report(1, 4, waiting),
                report(1, 5, waiting) },
            false },
        { "it was waiting at six servers",
            { report(1, 1, waiting), report(1, 2, waiting), report(1, 3, waiting), report(1, 4, waiting),
                report(1, 5, waiting), report(1, 6, waiting) },
            true },
        { "one instance reports it as waiting, another as just begun",
            { report(1, 1, waiting), report(1, 1, begun), report(1, 2), report(1, 3) }, true },
        { "it had been running for some time at one of three servers",
            { report(1, 1, CrashSign::None), report(1, 2), report(1, 3) }, false },
    };
    for (const auto& each : cases) {
        RequestQuarantine quarantine;
        int verdicts = 0;
        for (const CrashReport& crash : each.reports)
            quarantine.add(crash, true, at(milliseconds(0)));
        verdicts += static_cast<int>(quarantine.judge(at(milliseconds(99))).size());
        CHECK_EQUAL_TEXT(0, verdicts, each.name);
        verdicts += static_cast<int>(quarantine.judge(at(milliseconds(100))).size());
        CHECK_EQUAL_TEXT(each.isQuarantined ? 1 : 0, verdicts, each.name);
        CHECK_EQUAL_TEXT(each.isQuarantined, quarantine.isQuarantined(request(1), at(milliseconds(100))), each.name);
        CHECK_FALSE_TEXT(quarantine.isQuarantined(request(1, "other"), at(milliseconds(100))), each.name);
    }
}

TEST(RequestQuarantine, StandingOfATrait)
{
    const struct {
        const char* name;
        TraitEvidence evidence;
        TraitStanding standing;
    } cases[] = {
        { "nothing is known", {}, TraitStanding::Unknown },
        { "it ran, and no server ended", { .hasRun = true }, TraitStanding::Harmless },
        { "a server ended", { .points = 1 }, TraitStanding::Suspected },
        { "it ran, then a server ended", { .hasRun = true, .points = 2 }, TraitStanding::Suspected },
        { "almost enough servers ended", { .points = 5 }, TraitStanding::Suspected },
        { "enough servers ended", { .points = 6 }, TraitStanding::Blocked },
        { "enough servers ended, but it was there by chance before", { .points = 6, .explainedEnds = 1 },
            TraitStanding::Suspected },
        { "enough servers ended, all but one under requests of one workspace", { .points = 8, .independentPoints = 2 },
            TraitStanding::Suspected },
        { "enough servers ended, two without any one workspace", { .points = 6, .independentPoints = 4 },
            TraitStanding::Blocked },
        { "twice as many servers ended, it was often there by chance before", { .points = 10, .explainedEnds = 12 },
            TraitStanding::Blocked },
        { "it ran, then enough servers ended together", { .hasRun = true, .points = 12 }, TraitStanding::Doubtful },
        { "it ran, then two servers ended", { .hasRun = true, .points = 4 }, TraitStanding::Doubtful },
        { "it ran, then almost two servers ended", { .hasRun = true, .points = 3 }, TraitStanding::Suspected },
        { "it ran, then enough servers ended one after the other",
            { .hasRun = true, .points = 6, .span = milliseconds(600) }, TraitStanding::Blocked },
        { "a part that ran, then three servers ended under requests of one workspace",
            { .hasRun = true, .points = 8, .span = milliseconds(600), .isPartOfOneWorkspace = true },
            TraitStanding::Doubtful },
        { "a part that ran, then five servers ended under requests of one workspace",
            { .hasRun = true, .points = 10, .span = milliseconds(600), .isPartOfOneWorkspace = true },
            TraitStanding::Blocked },
        { "enough servers ended, but later runs refuted that it was the cause of others",
            { .points = 9, .refutedEnds = 12 }, TraitStanding::Suspected },
        { "it ran, then too few servers ended one after the other",
            { .hasRun = true, .points = 5, .span = milliseconds(2000) }, TraitStanding::Doubtful },
        { "a verdict of another instance", { .isQuarantined = true }, TraitStanding::Blocked },
        { "a verdict of another instance, though it ran", { .hasRun = true, .isQuarantined = true },
            TraitStanding::Blocked },
    };
    for (const auto& each : cases)
        CHECK_TRUE_TEXT(classifyTrait(each.evidence) == each.standing, each.name);
}

// Guards against harmless traits that are blamed for crashes because requests with them were there, too.
TEST(RequestQuarantine, OnlyTheNarrowestTraitThatExplainsTheCrashesIsQuarantined)
{
    using Traits = std::vector<RequestTrait>;
    const auto crash = [](Traits traits, std::uint64_t server, CrashSign sign = CrashSign::JustBegun) {
        return CrashReport { { std::move(traits), sign }, server };
    };
    const auto groupCrash = [](Traits traits, std::uint64_t server) {
        return CrashReport { { std::move(traits), CrashSign::JustBegun }, server, {}, {}, true };
    };
    const struct {
        const char* name;
        std::vector<CrashReport> reports;
        Traits quarantined;
    } cases[] = {
        { "a part of three requests, with parts of their own",
            { crash({ request(1), part("c"), part("b1") }, 1), crash({ request(2), part("c"), part("b2") }, 2),
                crash({ request(3), part("c"), part("b3") }, 3) },
            { part("c") } },
        { "repeats of one request",
            { crash({ request(1), part("c") }, 1), crash({ request(1), part("c") }, 2),
                crash({ request(1), part("c") }, 3) },
            { request(1) } },
        { "contents with one part that end three servers each, beside another part",
            { crash({ request(1), part("c") }, 1), crash({ request(9), part("b") }, 1),
                crash({ request(1), part("c") }, 2), crash({ request(10), part("b") }, 2),
                crash({ request(1), part("c") }, 3), crash({ request(11), part("b") }, 3),
                crash({ request(2), part("c") }, 4), crash({ request(12), part("b") }, 4),
                crash({ request(2), part("c") }, 5), crash({ request(13), part("b") }, 5),
                crash({ request(2), part("c") }, 6), crash({ request(14), part("b") }, 6),
                crash({ request(3), part("c") }, 7), crash({ request(3), part("c") }, 8) },
            { request(1), request(2), part("c") } },
        { "a content that ends three servers, and one with a part of it that ends two",
            { crash({ request(1), part("c") }, 1), crash({ request(1), part("c") }, 2),
                crash({ request(1), part("c") }, 3), crash({ request(2), part("c") }, 4),
                crash({ request(2), part("c") }, 5) },
            { request(1) } },
        { "two parts that are always together: the later one",
            { crash({ request(1), part("f"), part("c") }, 1), crash({ request(2), part("f"), part("c") }, 2),
                crash({ request(3), part("f"), part("c") }, 3), crash({ request(4), part("f"), part("c") }, 4) },
            { part("c") } },
        { "the earlier part, once it has crashed four more servers with others",
            { crash({ request(1), part("f"), part("c") }, 1), crash({ request(2), part("f"), part("c") }, 2),
                crash({ request(3), part("f"), part("c") }, 3), crash({ request(4), part("f"), part("d") }, 4),
                crash({ request(5), part("f"), part("d") }, 5), crash({ request(6), part("f"), part("e") }, 6),
                crash({ request(7), part("f"), part("e") }, 7) },
            { part("c"), part("f") } },
        { "two parts that were on the same servers",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("b") }, 1),
                crash({ request(3), part("c") }, 2), crash({ request(4), part("b") }, 2),
                crash({ request(5), part("c") }, 3), crash({ request(6), part("b") }, 3) },
            {} },
        { "two parts that were on the same servers, and one on a server more",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("b") }, 1),
                crash({ request(3), part("c") }, 2), crash({ request(4), part("b") }, 2),
                crash({ request(5), part("c") }, 3), crash({ request(6), part("b") }, 3),
                crash({ request(7), part("c") }, 4) },
            { part("c") } },
        { "a part of three requests in a group failure",
            { groupCrash({ request(1), part("c") }, 1), groupCrash({ request(2), part("c") }, 2),
                groupCrash({ request(3), part("c") }, 3) },
            {} },
        { "a part of six requests in what looks like group failures",
            { groupCrash({ request(1), part("c") }, 1), groupCrash({ request(2), part("c") }, 2),
                groupCrash({ request(3), part("c") }, 3), groupCrash({ request(4), part("c") }, 4),
                groupCrash({ request(5), part("c") }, 5), groupCrash({ request(6), part("c") }, 6) },
            { part("c") } },
        { "the cause, though its reports arrive last",
            { crash({ request(2), part("b") }, 1), crash({ request(4), part("b") }, 2),
                crash({ request(6), part("b") }, 3), crash({ request(1), part("c") }, 1),
                crash({ request(3), part("c") }, 2), crash({ request(5), part("c") }, 3),
                crash({ request(7), part("c") }, 4) },
            { part("c") } },
        { "the second cause, not another part that was there under both",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("c") }, 2),
                crash({ request(3), part("c") }, 3), crash({ request(4), part("c") }, 4),
                crash({ request(5), part("b") }, 1), crash({ request(6), part("b") }, 2),
                crash({ request(7), part("b") }, 5), crash({ request(8), part("b") }, 6),
                crash({ request(9), part("b") }, 7), crash({ request(10), part("d") }, 5),
                crash({ request(11), part("d") }, 6), crash({ request(12), part("d") }, 7) },
            { part("c"), part("d") } },
        { "two causes",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("c") }, 2),
                crash({ request(3), part("c") }, 3), crash({ request(4), part("d") }, 4),
                crash({ request(5), part("d") }, 5), crash({ request(6), part("d") }, 6) },
            { part("c"), part("d") } },
        { "the same part in two workspaces",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("c") }, 2),
                crash({ request(3, "v"), part("c", "v") }, 3) },
            {} },
        { "the same part in two workspaces, three servers under the second",
            { crash(traitsOf(1, "c", "w"), 1), crash(traitsOf(2, "c", "w"), 2), crash(traitsOf(3, "c", "v"), 3),
                crash(traitsOf(4, "c", "v"), 4), crash(traitsOf(5, "c", "v"), 5) },
            { part("c").ofAllWorkspaces() } },
        { "the same part in three workspaces",
            { crash(traitsOf(1, "c", "w"), 1), crash(traitsOf(2, "c", "v"), 2), crash(traitsOf(3, "c", "u"), 3) },
            { part("c").ofAllWorkspaces() } },
        { "a part of which one workspace is on each server: for this workspace",
            { crash(traitsOf(1, "c", "w"), 1), crash(traitsOf(2, "c", "v"), 1), crash(traitsOf(3, "c", "w"), 2),
                crash(traitsOf(4, "c", "w"), 3), crash(traitsOf(5, "c", "w"), 4), crash(traitsOf(6, "c", "v"), 4) },
            { part("c") } },
        { "the same, and two more servers under other workspaces: for all",
            { crash(traitsOf(1, "c", "w"), 1), crash(traitsOf(2, "c", "w"), 2), crash(traitsOf(3, "c", "w"), 3),
                crash(traitsOf(4, "c", "v"), 4), crash(traitsOf(5, "c", "u"), 5) },
            { part("c"), part("c").ofAllWorkspaces() } },
        { "two servers, reported twice",
            { crash({ request(1), part("c") }, 1), crash({ request(2), part("c") }, 2),
                crash({ request(1), part("c") }, 1), crash({ request(2), part("c") }, 2) },
            {} },
    };
    for (const auto& each : cases) {
        RequestQuarantine quarantine;
        Duration now = milliseconds(0);
        std::uint64_t server = 0;
        for (const CrashReport& report : each.reports) {
            // Servers end some time after each other; reports about one end arrive together.
            now += report.server > std::exchange(server, std::max(server, report.server)) ? milliseconds(200)
                                                                                          : milliseconds(0);
            quarantine.judge(at(now));
            quarantine.add(report, true, at(now));
        }
        now += milliseconds(200);
        quarantine.judge(at(now));
        CHECK_EQUAL_TEXT(each.quarantined.size(), quarantine.quarantinedCount(at(now)), each.name);
        for (const RequestTrait& trait : each.quarantined)
            CHECK_TRUE_TEXT(quarantine.isQuarantined(trait, at(now)), each.name);
    }
}

TEST(RequestQuarantine, EvidenceExpiresAndAQuarantineIsRenewedByOneCrash)
{
    RequestQuarantine quarantine;
    quarantine.add(report(1, 1), true, at(minutes(0)));
    quarantine.removeExpired(at(minutes(11)));
    CHECK_TRUE(quarantine.empty());
    for (std::uint64_t server = 1; server <= 3; ++server)
        quarantine.add(report(1, server), true, at(minutes(20)) - milliseconds(100));
    quarantine.judge(at(minutes(20)));
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(49))));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(51))));
    quarantine.removeExpired(at(minutes(51)));
    quarantine.add(report(1, 9), true, at(minutes(52)) - milliseconds(100));
    CHECK_EQUAL(1U, quarantine.judge(at(minutes(52))).size());
    CHECK_TRUE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(52))));
}

// A malicious caller may send many different requests, each with a report, to evict the record of one request.
TEST(RequestQuarantine, TheRecordWithTheLatestCrashIsNotEvicted)
{
    RequestQuarantine quarantine;
    for (std::uint64_t server = 1; server <= 3; ++server)
        quarantine.add(report(1, server), true, at(minutes(1)) - milliseconds(100));
    quarantine.judge(at(minutes(1)));
    for (std::uint32_t i = 0; i < 10000; ++i) {
        CrashReport each = report(2, 1);
        auto& content = std::get<ContentDigest>(each.suspect.traits.front().value);
        content.bytes[1] = static_cast<std::uint8_t>(i);
        content.bytes[2] = static_cast<std::uint8_t>(i >> 8U);
        quarantine.add(each, true, at(milliseconds(i)));
    }
    // All other reports are older than the ones about this request.
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(1))));
}

// Guards against crashes that count against nothing because the connection of their request ends after the verdict.
TEST(RequestQuarantine, AnAttemptThatBreaksOffAfterTheEndOfItsServerWasClassifiedIsASuspect)
{
    const struct {
        const char* name;
        CrashSign sign;
        std::size_t reports;
    } cases[] = {
        { "its answer had begun", CrashSign::JustBegun, 1 },
        { "it may have been sent after the end", CrashSign::Waiting, 0 },
    };
    for (const auto& each : cases) {
        CrashEvidence evidence;
        evidence.noteEnded(1, {}, at(milliseconds(0)));
        CHECK_TRUE_TEXT(evidence.classifyEnds(at(milliseconds(400))).empty(), each.name);
        evidence.noteLost({ { request(1) }, each.sign }, { 1 }, at(milliseconds(600)));
        CHECK_EQUAL_TEXT(each.reports, evidence.classifyEnds(at(milliseconds(620))).size(), each.name);
        CHECK_EQUAL_TEXT(1 - each.reports, evidence.lateCount(), each.name);
        CHECK_TRUE_TEXT(evidence.classifyEnds(at(milliseconds(640))).empty(), each.name);
    }
}

TEST(RequestQuarantine, EvidenceOfOneInstanceTellsACrashFromOtherEnds)
{
    const CrashSuspect suspect { { request(1) }, CrashSign::JustBegun };
    using Steps = std::function<void(CrashEvidence&)>;
    const struct {
        const char* name;
        Steps steps;
        std::size_t crashes;
        std::size_t inGroups;
    } cases[] = {
        { "its attempt broke off, and the server refuses connections",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteEnded(1, {}, at(milliseconds(5)));
            },
            1, 0 },
        { "its server was found dead before its attempt broke off",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, {}, at(milliseconds(0)));
                evidence.noteLost(suspect, { 1 }, at(milliseconds(5)));
            },
            1, 0 },
        { "its attempt broke off, and the server answers a check before it ends",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteAlive(1, at(milliseconds(1)));
                evidence.noteEnded(1, {}, at(milliseconds(100)));
            },
            0, 0 },
        { "its attempt broke off, and the server answers what it was asked before",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(1)));
                evidence.noteAlive(1, at(milliseconds(0)));
                evidence.noteEnded(1, {}, at(milliseconds(100)));
            },
            1, 0 },
        { "it was running on the server",
            [&](CrashEvidence& evidence) { evidence.noteEnded(1, { suspect }, at(milliseconds(0))); }, 1, 0 },
        { "its server did not answer, and its end was confirmed 3 s later",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteSilent(1, at(milliseconds(80)));
                evidence.noteEnded(1, {}, at(milliseconds(3000)));
            },
            1, 0 },
        { "its server did not answer for a time, then answers again",
            [&](CrashEvidence& evidence) {
                evidence.noteSilent(1, at(milliseconds(0)));
                evidence.noteLost(suspect, { 1 }, at(milliseconds(10)));
                evidence.noteAlive(1, at(milliseconds(20)));
            },
            0, 0 },
        { "two other servers end at about the same time",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)));
                evidence.noteSilent(3, at(milliseconds(200)));
            },
            0, 1 },
        { "two other servers that were running it end at about the same time",
            [&](CrashEvidence& evidence) {
                for (std::uint64_t server = 1; server <= 3; ++server)
                    evidence.noteEnded(server, { suspect }, at(milliseconds(100) * static_cast<int>(server)));
            },
            3, 0 },
        { "one other server ends at about the same time",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)));
            },
            1, 0 },
        { "two other servers end shortly after, both known to be alive after the end of its server was detected",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)), at(milliseconds(90)));
                evidence.noteSilent(3, at(milliseconds(200)), at(milliseconds(120)));
            },
            1, 0 },
        { "two other servers end before its server was last known to be alive",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(2, {}, at(milliseconds(0)));
                evidence.noteEnded(3, {}, at(milliseconds(50)));
                evidence.noteEnded(1, { suspect }, at(milliseconds(200)), at(milliseconds(150)));
            },
            1, 0 },
        { "two other servers end at about the same time, and the last event of one of them arrives late",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(100)), at(milliseconds(80)));
                evidence.noteEnded(2, {}, at(milliseconds(180)), at(milliseconds(130)));
                evidence.noteSilent(3, at(milliseconds(200)), at(milliseconds(40)));
            },
            0, 1 },
    };
    for (const auto& each : cases) {
        CrashEvidence evidence;
        each.steps(evidence);
        const std::vector<CrashReport> reports = evidence.classifyEnds(at(milliseconds(4000)));
        const auto inGroups
            = std::count_if(reports.begin(), reports.end(), [](const auto& report) { return report.isGroupFailure; });
        CHECK_EQUAL_TEXT(each.crashes, reports.size() - static_cast<std::size_t>(inGroups), each.name);
        CHECK_EQUAL_TEXT(each.inGroups, static_cast<std::size_t>(inGroups), each.name);
        CHECK_EQUAL_TEXT(0U, evidence.unclassifiedEndCount(request(1)), each.name);
        CHECK_TRUE_TEXT(evidence.classifyEnds(at(milliseconds(4300))).empty(), each.name);
    }
}

TEST(RequestQuarantine, DatagramsKeepCrashReportsAndTruncatedOnesAreRejected)
{
    PeerDatagram datagram;
    datagram.crashes = { report(1, 7), report(2, ~0ULL, CrashSign::Waiting), report(4, 9) };
    datagram.crashes[2].isGroupFailure = true;
    datagram.crashes[1].suspect.traits = traitsOf(2, "5c1e07a2", "w");
    datagram.crashes[1].suspect.ranLately = { part("5c1e07a2").ofAllWorkspaces() };
    datagram.crashes[1].age = milliseconds(310);
    datagram.crashes[1].ageOfLife = milliseconds(350);
    datagram.soundRuns = { { request(3, "a workspace"), {} }, { part("91bd3f06", "a workspace"), { 7, ~0ULL } },
        { part("91bd3f06").ofAllWorkspaces(), { 9 } } };
    const std::string bytes = encode(datagram);
    const auto decoded = decodePeerDatagram(bytes);
    CHECK_TRUE(decoded.ok());
    CHECK_EQUAL(datagram.crashes.size(), decoded->crashes.size());
    for (std::size_t i = 0; i < datagram.crashes.size(); ++i) {
        CHECK_TRUE(decoded->crashes[i].suspect.traits == datagram.crashes[i].suspect.traits);
        CHECK_TRUE(decoded->crashes[i].suspect.ranLately == datagram.crashes[i].suspect.ranLately);
        CHECK_EQUAL(datagram.crashes[i].age.count(), decoded->crashes[i].age.count());
        CHECK_EQUAL(datagram.crashes[i].ageOfLife.count(), decoded->crashes[i].ageOfLife.count());
        CHECK_TRUE(decoded->crashes[i].suspect.sign == datagram.crashes[i].suspect.sign);
        CHECK_TRUE(decoded->crashes[i].server == datagram.crashes[i].server);
        CHECK_EQUAL(datagram.crashes[i].isGroupFailure, decoded->crashes[i].isGroupFailure);
    }
    CHECK_TRUE(decoded->soundRuns == datagram.soundRuns);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodePeerDatagram(bytes.substr(0, length)).ok());
}

namespace {

/// Sends a repeat of one request to the plain service.
/// @param id  id of the call
void callPlainService(RelayHarness& harness, std::uint64_t id)
{
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/book/1";
    spec.key = "key";
    spec.content.bytes[0] = 9;
    harness.send(relay::event::CallArrived { RequestId(id), spec });
}

/// Sends a repeat of the request to the plain service, and breaks off its attempt before the answer begins.
/// @return the attempt
relay::effect::StartAttempt breakOffAtPlainServer(RelayHarness& harness, std::uint64_t id)
{
    callPlainService(harness, id);
    const auto start = harness.last<relay::effect::StartAttempt>();
    CHECK_TRUE(start.has_value());
    harness.send(relay::event::AttemptSent { start->attempt });
    harness.send(relay::event::AttemptEnded { start->attempt, AttemptResult::Broken, 0, "" });
    return *start;
}

/// Registers the next start of a plain server.
/// @param address  the address of the previous start
void registerSuccessor(RelayHarness& harness, const std::string& address, int number)
{
    RegisteredServer successor = RelayHarness::plain("x");
    successor.id = BackendId("x" + std::to_string(number));
    successor.address = address;
    harness.send(relay::event::ServerRegistered { successor });
}

} // namespace

// Servers of a plain service send no load reports and no response header before the whole answer, so the end of a
// server has to be detected by a probe.
TEST(RequestQuarantine, ARequestThatCrashesPlainServersIsDetectedByProbes)
{
    RelayHarness harness;
    std::uint64_t nextId = 1000;
    for (int crash = 0; crash < 3; ++crash) {
        const auto start = breakOffAtPlainServer(harness, nextId++);
        const auto probe = harness.last<relay::effect::ProbeServer>();
        CHECK_TRUE(probe && probe->server == start.server);
        harness.send(relay::event::ServerProbed { probe->server, relay::event::ServerProbed::Finding::Ended });
        registerSuccessor(harness, start.address, crash);
        harness.tick(milliseconds(1000));
        harness.tick(milliseconds(100)); // For reports of other instances.
    }
    callPlainService(harness, nextId);
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->reason == Reason::CrashesServers);
    CHECK_TRUE(refusal->run == RunState::NotRun);
    CHECK_EQUAL(0, refusal->retryAfter.count());
    CHECK_FALSE(harness.last<relay::effect::StartAttempt>().has_value());
}

// Guards against crashes that are not counted because a proxy in front of a server accepts the connection of each
// probe. The server behind it had ended but was considered alive, so the request was never quarantined.
TEST(RequestQuarantine, ACrashThatAProbeMissesIsCountedOnceTheNextStartRegisters)
{
    using Finding = relay::event::ServerProbed::Finding;
    const struct {
        const char* name;
        Finding finding;
        bool isQuarantined;
    } cases[] = {
        { "the probe does not tell whether the server is alive", Finding::Unknown, true },
        { "the server is alive and is replaced later", Finding::Alive, false },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        std::uint64_t nextId = 1000;
        for (int crash = 0; crash < 3; ++crash) {
            const auto start = breakOffAtPlainServer(harness, nextId++);
            const auto probe = harness.last<relay::effect::ProbeServer>();
            CHECK_TRUE_TEXT(probe && probe->path == "/health", each.name);
            harness.send(relay::event::ServerProbed { start.server, each.finding });
            bool isProbedAgain = false;
            for (int wait = 0; wait < 50; ++wait) {
                harness.tick(milliseconds(20));
                isProbedAgain = isProbedAgain || harness.last<relay::effect::ProbeServer>();
            }
            CHECK_EQUAL_TEXT(each.finding == Finding::Unknown, isProbedAgain, each.name);
            registerSuccessor(harness, start.address, crash);
            harness.tick(milliseconds(1000));
            harness.tick(milliseconds(100)); // For reports of other instances.
        }
        callPlainService(harness, nextId);
        const auto refusal = harness.last<relay::effect::Refuse>();
        const bool isQuarantined = refusal && refusal->reason == Reason::CrashesServers;
        CHECK_EQUAL_TEXT(each.isQuarantined, isQuarantined, each.name);
    }
}

// Guards against a part that is blocked because some instances have not run it, though others have, and against runs
// from before the ends of servers that outweigh these ends.
TEST(RequestQuarantine, AnInstanceTellsTheOthersWhichEndsARunRefutes)
{
    using Servers = std::vector<std::uint64_t>;
    const struct {
        const char* name;
        bool hasRun;
        Duration sinceRun;
        Duration age; ///< since the ends were detected, when they are reported
        std::uint64_t ends; ///< servers that ended under requests with the part, by other instances
        std::optional<Servers> refutedEnds;
    } cases[] = {
        { "it ran before the ends", true, milliseconds(1000), milliseconds(300), 2, Servers {} },
        { "it ran after the ends", true, milliseconds(1000), milliseconds(1100), 2, Servers { 1, 2 } },
        { "it ran, and evidence is scarce", true, milliseconds(1000), milliseconds(1100), 1, std::nullopt },
        { "it ran long ago", true, minutes(1), milliseconds(300), 2, std::nullopt },
        { "it never ran", false, milliseconds(1000), milliseconds(300), 2, std::nullopt },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        spec.promptParts = { PromptPartId("b1") };
        if (each.hasRun) {
            harness.send(relay::event::CallArrived { RequestId(1000), spec });
            const auto start = harness.last<relay::effect::StartAttempt>();
            harness.send(relay::event::AttemptSent { start->attempt });
            harness.send(relay::event::AttemptEnded { start->attempt, AttemptResult::Completed, 200, "" });
        }
        harness.tick(each.sinceRun);
        const auto reportEnds = [&](std::uint64_t firstServer, Duration age) {
            std::vector<CrashReport> reports;
            for (std::uint64_t server = firstServer; server < firstServer + each.ends; ++server)
                reports.push_back({ { traitsOf(9, "b1", "w"), CrashSign::JustBegun }, server, age, age });
            harness.send(relay::event::CrashesReported { reports });
            harness.tick(milliseconds(60));
            return harness.last<relay::effect::ShareSoundRuns>();
        };
        const auto shared = reportEnds(1, each.age);
        CHECK_EQUAL_TEXT(each.refutedEnds.has_value(), shared.has_value(), each.name);
        const std::size_t endsLeft = shared && !each.refutedEnds->empty() ? 0 : each.ends;
        CHECK_EQUAL_TEXT(
            2 * endsLeft, harness.reducer().quarantine().evidence(part("b1"), harness.now()).points, each.name);
        if (!shared)
            continue;
        const std::vector<SoundRun> expected { { part("b1").ofAllWorkspaces(), *each.refutedEnds },
            { part("b1"), *each.refutedEnds } };
        CHECK_TRUE_TEXT(shared->runs == expected, each.name);
        // The same run shows nothing new.
        CHECK_FALSE_TEXT(reportEnds(1, each.age).has_value(), each.name);
        // A part that became harmful must not be defended again and again.
        CHECK_FALSE_TEXT(reportEnds(10, milliseconds(300)).has_value(), each.name);
    }
}

// Guards against runs that clear more than they show, and against results that depend on the order of messages.
TEST(RequestQuarantine, ARunRefutesOnlyTheEndsThatItNames)
{
    const auto crash = [](std::uint64_t server) { return report(1, server); };
    const struct {
        const char* name;
        std::function<void(RequestQuarantine&)> steps;
        std::uint32_t points;
        bool isQuarantined;
    } cases[] = {
        { "a run before the last of three ends",
            [&](RequestQuarantine& quarantine) {
                for (const std::uint64_t server : { 1, 2, 3 })
                    quarantine.add(crash(server), true, at(milliseconds(0)));
                quarantine.refute({ request(1), { 1, 2 } }, at(milliseconds(0)));
            },
            2, false },
        { "the run arrives before the reports",
            [&](RequestQuarantine& quarantine) {
                quarantine.refute({ request(1), { 1, 2 } }, at(milliseconds(0)));
                for (const std::uint64_t server : { 1, 2, 3 })
                    quarantine.add(crash(server), true, at(milliseconds(0)));
            },
            2, false },
        { "the run arrives again after four more ends",
            [&](RequestQuarantine& quarantine) {
                quarantine.add(crash(1), true, at(milliseconds(0)));
                quarantine.refute({ request(1), { 1 } }, at(milliseconds(0)));
                for (const int server : { 2, 3, 4, 5 })
                    quarantine.add(crash(static_cast<std::uint64_t>(server)), true, at(server * milliseconds(900)));
                quarantine.refute({ request(1), { 1 } }, at(milliseconds(4500)));
            },
            8, true },
        { "ends together after a run",
            [&](RequestQuarantine& quarantine) {
                quarantine.refute({ request(1), { 1 } }, at(milliseconds(0)));
                for (const std::uint64_t server : { 2, 3, 4, 5 })
                    quarantine.add(crash(server), true, at(milliseconds(100)));
            },
            8, false },
        { "a verdict, and a run after two of its three ends",
            [&](RequestQuarantine& quarantine) {
                for (const std::uint64_t server : { 1, 2, 3 })
                    quarantine.add(crash(server), true, at(milliseconds(0)));
                quarantine.judge(at(milliseconds(100)));
                CHECK_TRUE(quarantine.refute({ request(1), { 1, 2 } }, at(milliseconds(200))).liftsQuarantine);
            },
            2, false },
        { "a verdict from the store, and a run after an end that was not counted",
            [&](RequestQuarantine& quarantine) {
                quarantine.quarantine(request(1), at(milliseconds(0)));
                CHECK_FALSE(quarantine.refute({ request(1), { 1 } }, at(milliseconds(200))).liftsQuarantine);
            },
            0, true },
    };
    for (const auto& each : cases) {
        RequestQuarantine quarantine;
        each.steps(quarantine);
        quarantine.judge(at(seconds(5)));
        CHECK_EQUAL_TEXT(each.points, quarantine.evidence(request(1), at(seconds(5))).points, each.name);
        CHECK_EQUAL_TEXT(each.isQuarantined, quarantine.isQuarantined(request(1), at(seconds(5))), each.name);
    }
}

// Also guards against a quarantine that affects the requests of another workspace.
TEST(RequestQuarantine, AQuarantineFromTheStoreIsInForceUntilItIsLifted)
{
    RelayHarness harness;
    const RequestTrait ownRequest { WorkspaceId("w"), ContentDigest {} };
    const RequestTrait othersRequest { WorkspaceId("v"), ContentDigest {} };
    const auto isRefused = [&](std::uint64_t id) {
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        harness.send(relay::event::CallArrived { RequestId(id), spec });
        return harness.last<relay::effect::Refuse>().has_value();
    };
    harness.send(relay::event::QuarantineListed { othersRequest });
    CHECK_FALSE(isRefused(1000));
    harness.send(relay::event::QuarantineListed { ownRequest });
    CHECK_TRUE(harness.last<relay::effect::Refuse>().has_value()); // The call that was already running is refused.
    CHECK_TRUE(isRefused(1001));
    harness.send(relay::event::QuarantineLifted { ownRequest });
    CHECK_FALSE(isRefused(1002));
}
