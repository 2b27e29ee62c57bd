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

namespace {

RequestIdentity request(std::uint8_t number, const char* workspace = "w")
{
    RequestIdentity made { WorkspaceId(workspace), {} };
    made.content.bytes[0] = number;
    return made;
}

CrashReport report(std::uint8_t number, std::uint64_t server, CrashSign sign = CrashSign::JustBegun)
{
    return { { request(number), sign }, server };
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
            verdicts += quarantine.add(crash, at(milliseconds(0))) == RequestQuarantine::Change::Quarantined ? 1 : 0;
        CHECK_EQUAL_TEXT(each.isQuarantined ? 1 : 0, verdicts, each.name);
        CHECK_EQUAL_TEXT(each.isQuarantined, quarantine.isQuarantined(request(1), at(milliseconds(0))), each.name);
        CHECK_FALSE_TEXT(quarantine.isQuarantined(request(1, "other"), at(milliseconds(0))), each.name);
    }
}

TEST(RequestQuarantine, EvidenceExpiresAndAQuarantineIsRenewedByOneCrash)
{
    RequestQuarantine quarantine;
    quarantine.add(report(1, 1), at(minutes(0)));
    quarantine.removeExpired(at(minutes(11)));
    CHECK_TRUE(quarantine.empty());
    for (std::uint64_t server = 1; server <= 3; ++server)
        quarantine.add(report(1, server), at(minutes(20)));
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(49))));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(51))));
    quarantine.removeExpired(at(minutes(51)));
    CHECK_TRUE(quarantine.add(report(1, 9), at(minutes(52))) == RequestQuarantine::Change::Quarantined);
    CHECK_TRUE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(52))));
}

// A malicious caller may send many different requests, each with a report, to evict the record of one request.
TEST(RequestQuarantine, TheRecordWithTheLatestCrashIsNotEvicted)
{
    RequestQuarantine quarantine;
    for (std::uint64_t server = 1; server <= 3; ++server)
        quarantine.add(report(1, server), at(minutes(1)));
    for (std::uint32_t i = 0; i < 10000; ++i) {
        CrashReport each = report(2, 1);
        each.suspect.request.content.bytes[1] = static_cast<std::uint8_t>(i);
        each.suspect.request.content.bytes[2] = static_cast<std::uint8_t>(i >> 8U);
        quarantine.add(each, at(milliseconds(i)));
    }
    // All other reports are older than the ones about this request.
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(1))));
}

TEST(RequestQuarantine, EvidenceOfOneInstanceTellsACrashFromOtherEnds)
{
    const CrashSuspect suspect { request(1), CrashSign::JustBegun };
    using Steps = std::function<void(CrashEvidence&)>;
    const struct {
        const char* name;
        Steps steps;
        std::size_t crashes;
        std::size_t dismissed;
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
                evidence.noteAlive(1);
                evidence.noteEnded(1, {}, at(milliseconds(100)));
            },
            0, 0 },
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
                evidence.noteAlive(1);
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
        const auto findings = evidence.classifyEnds(at(milliseconds(4000)));
        CHECK_EQUAL_TEXT(each.crashes, findings.crashes.size(), each.name);
        CHECK_EQUAL_TEXT(each.dismissed, findings.dismissed.size(), each.name);
        CHECK_EQUAL_TEXT(0U, evidence.unclassifiedEndCount(request(1)), each.name);
        CHECK_TRUE_TEXT(evidence.classifyEnds(at(milliseconds(4300))).crashes.empty(), each.name);
    }
}

TEST(RequestQuarantine, DatagramsKeepCrashReportsAndTruncatedOnesAreRejected)
{
    PeerDatagram datagram;
    datagram.crashes = { report(1, 7), report(2, ~0ULL, CrashSign::Waiting) };
    datagram.soundRequests = { request(3, "a workspace") };
    const std::string bytes = encode(datagram);
    const auto decoded = decodePeerDatagram(bytes);
    CHECK_TRUE(decoded.ok());
    CHECK_EQUAL(2U, decoded->crashes.size());
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK_TRUE(decoded->crashes[i].suspect.request == datagram.crashes[i].suspect.request);
        CHECK_TRUE(decoded->crashes[i].suspect.sign == datagram.crashes[i].suspect.sign);
        CHECK_TRUE(decoded->crashes[i].server == datagram.crashes[i].server);
    }
    CHECK_TRUE(decoded->soundRequests == datagram.soundRequests);
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
        }
        callPlainService(harness, nextId);
        const auto refusal = harness.last<relay::effect::Refuse>();
        const bool isQuarantined = refusal && refusal->reason == Reason::CrashesServers;
        CHECK_EQUAL_TEXT(each.isQuarantined, isQuarantined, each.name);
    }
}

// Also guards against a quarantine that affects the requests of another workspace.
TEST(RequestQuarantine, AQuarantineFromTheStoreIsInForceUntilItIsLifted)
{
    RelayHarness harness;
    const RequestIdentity ownRequest { WorkspaceId("w"), {} };
    const RequestIdentity othersRequest { WorkspaceId("v"), {} };
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
