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

TimePoint at(Duration since) { return timePoint(1000000) + since; }

} // namespace

TEST_GROUP(RequestQuarantine) {};

TEST(RequestQuarantine, EndsOfDifferentServersAddUp)
{
    const auto begun = CrashSign::JustBegun;
    const auto waiting = CrashSign::Waiting;
    const struct {
        const char* name;
        std::vector<CrashReport> reports;
        bool quarantined;
    } cases[] = {
        { "three servers had just begun", { report(1, 1), report(1, 2), report(1, 3) }, true },
        { "two servers had", { report(1, 1), report(1, 2) }, false },
        { "one server, told of three times", { report(1, 1), report(1, 1), report(1, 1) }, false },
        { "three requests, a server each", { report(1, 1), report(2, 2), report(3, 3) }, false },
        { "it waited at five",
            { report(1, 1, waiting), report(1, 2, waiting), report(1, 3, waiting), report(1, 4, waiting),
                report(1, 5, waiting) },
            false },
        { "it waited at six",
            { report(1, 1, waiting), report(1, 2, waiting), report(1, 3, waiting), report(1, 4, waiting),
                report(1, 5, waiting), report(1, 6, waiting) },
            true },
        { "one instance saw it wait, another one that it had begun",
            { report(1, 1, waiting), report(1, 1, begun), report(1, 2), report(1, 3) }, true },
        { "it had run for long", { report(1, 1, CrashSign::None), report(1, 2), report(1, 3) }, false },
    };
    for (const auto& each : cases) {
        RequestQuarantine quarantine;
        int verdicts = 0;
        for (const CrashReport& given : each.reports)
            verdicts += quarantine.add(given, at(milliseconds(0))) == RequestQuarantine::Change::Quarantined ? 1 : 0;
        CHECK_EQUAL_TEXT(each.quarantined ? 1 : 0, verdicts, each.name);
        CHECK_EQUAL_TEXT(each.quarantined, quarantine.isQuarantined(request(1), at(milliseconds(0))), each.name);
        CHECK_FALSE_TEXT(quarantine.isQuarantined(request(1, "other"), at(milliseconds(0))), each.name);
    }
}

TEST(RequestQuarantine, TimePassesAndARequestThatIsFoundAgainNeedsOneServer)
{
    RequestQuarantine quarantine;
    quarantine.add(report(1, 1), at(minutes(0)));
    quarantine.forgetOld(at(minutes(11)));
    CHECK_TRUE(quarantine.empty());
    for (std::uint64_t server = 1; server <= 3; ++server)
        quarantine.add(report(1, server), at(minutes(20)));
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(49))));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(51))));
    quarantine.forgetOld(at(minutes(51)));
    CHECK_TRUE(quarantine.add(report(1, 9), at(minutes(52))) == RequestQuarantine::Change::Quarantined);
    CHECK_TRUE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.clear(request(1)));
    CHECK_FALSE(quarantine.isQuarantined(request(1), at(minutes(52))));
}

TEST(RequestQuarantine, ACallerWhoMeansHarmFillsNoMemory)
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
    // The request whose last crash is the newest stays.
    CHECK_TRUE(quarantine.isQuarantined(request(1), at(minutes(1))));
}

TEST(RequestQuarantine, WhatASingleInstanceSeesTellsACrashFromOtherEnds)
{
    const CrashSuspect suspect { request(1), CrashSign::JustBegun };
    using Steps = std::function<void(CrashEvidence&)>;
    const struct {
        const char* name;
        Steps steps;
        std::size_t crashes;
        std::size_t dismissed;
    } cases[] = {
        { "it broke off, and its server refuses connections",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteEnded(1, {}, at(milliseconds(5)));
            },
            1, 0 },
        { "its server was found dead before it broke off",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, {}, at(milliseconds(0)));
                evidence.noteLost(suspect, { 1 }, at(milliseconds(5)));
            },
            1, 0 },
        { "it broke off, and its server answers",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteAlive(1);
                evidence.noteEnded(1, {}, at(milliseconds(100)));
            },
            0, 0 },
        { "it was running there",
            [&](CrashEvidence& evidence) { evidence.noteEnded(1, { suspect }, at(milliseconds(0))); }, 1, 0 },
        { "its server was silent, and a later start took its place",
            [&](CrashEvidence& evidence) {
                evidence.noteLost(suspect, { 1 }, at(milliseconds(0)));
                evidence.noteSilent(1, at(milliseconds(80)));
                evidence.noteEnded(1, {}, at(milliseconds(3000)));
            },
            1, 0 },
        { "a silent server that answers again",
            [&](CrashEvidence& evidence) {
                evidence.noteSilent(1, at(milliseconds(0)));
                evidence.noteLost(suspect, { 1 }, at(milliseconds(10)));
                evidence.noteAlive(1);
            },
            0, 0 },
        { "two others end in the same moment",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)));
                evidence.noteSilent(3, at(milliseconds(200)));
            },
            0, 1 },
        { "two others end in the same moment, also under it",
            [&](CrashEvidence& evidence) {
                for (std::uint64_t server = 1; server <= 3; ++server)
                    evidence.noteEnded(server, { suspect }, at(milliseconds(100) * static_cast<int>(server)));
            },
            3, 0 },
        { "one other ends in the same moment",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)));
            },
            1, 0 },
        { "two others end shortly after its server, both known to be alive after its end was found",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(1, { suspect }, at(milliseconds(0)));
                evidence.noteEnded(2, {}, at(milliseconds(100)), at(milliseconds(90)));
                evidence.noteSilent(3, at(milliseconds(200)), at(milliseconds(120)));
            },
            1, 0 },
        { "two others end before its server was last known to be alive",
            [&](CrashEvidence& evidence) {
                evidence.noteEnded(2, {}, at(milliseconds(0)));
                evidence.noteEnded(3, {}, at(milliseconds(50)));
                evidence.noteEnded(1, { suspect }, at(milliseconds(200)), at(milliseconds(150)));
            },
            1, 0 },
        { "two others end with its server, and the last event of one arrives late",
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
        const auto findings = evidence.settle(at(milliseconds(4000)));
        CHECK_EQUAL_TEXT(each.crashes, findings.crashes.size(), each.name);
        CHECK_EQUAL_TEXT(each.dismissed, findings.dismissed.size(), each.name);
        CHECK_EQUAL_TEXT(0U, evidence.openCases(request(1)), each.name);
        CHECK_TRUE_TEXT(evidence.settle(at(milliseconds(4300))).crashes.empty(), each.name);
    }
}

TEST(RequestQuarantine, ReportsCrossTheNetworkWhole)
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

/// Sends the same request to the plain service under another id.
void callPlainService(RelayHarness& harness, std::uint64_t which)
{
    CallSpec spec;
    spec.host = "h.example";
    spec.path = "/book/1";
    spec.key = "key";
    spec.content.bytes[0] = 9;
    harness.send(relay::event::CallArrived { RequestId(which), spec });
}

/// Sends it, and has its answer break off.
/// @return the attempt
relay::effect::StartAttempt breakOffAtPlainServer(RelayHarness& harness, std::uint64_t which)
{
    callPlainService(harness, which);
    const auto start = harness.last<relay::effect::StartAttempt>();
    CHECK_TRUE(start.has_value());
    harness.send(relay::event::AttemptSent { start->attempt });
    harness.send(relay::event::AttemptEnded { start->attempt, AttemptResult::Broken, 0, "" });
    return *start;
}

/// Registers the next start of a plain server at the address of the one before.
void registerSuccessor(RelayHarness& harness, const std::string& address, int number)
{
    RegisteredServer successor = RelayHarness::plain("x");
    successor.id = BackendId("x" + std::to_string(number));
    successor.address = address;
    harness.send(relay::event::ServerRegistered { successor });
}

} // namespace

// A plain service's server gives no report and sends no head before its answer.
TEST(RequestQuarantine, ARequestThatEndsPlainServersIsFoundByProbes)
{
    RelayHarness harness;
    std::uint64_t next = 1000;
    for (int crash = 0; crash < 3; ++crash) {
        const auto start = breakOffAtPlainServer(harness, next++);
        const auto probe = harness.last<relay::effect::ProbeServer>();
        CHECK_TRUE(probe && probe->server == start.server);
        harness.send(relay::event::ServerProbed { probe->server, relay::event::ServerProbed::Finding::Ended });
        registerSuccessor(harness, start.address, crash);
        harness.tick(milliseconds(1000));
    }
    callPlainService(harness, next);
    const auto refusal = harness.last<relay::effect::Refuse>();
    CHECK_TRUE(refusal && refusal->reason == Reason::CrashesServers);
    CHECK_TRUE(refusal->run == RunState::NotRun);
    CHECK_EQUAL(0, refusal->retryAfter.count());
    CHECK_FALSE(harness.last<relay::effect::StartAttempt>().has_value());
}

// A proxy before a server accepted each probe, which was taken for a sign of life of the server that had ended behind
// it: the request was never quarantined.
TEST(RequestQuarantine, AnEndThatAProbeDoesNotShowIsCountedOnceTheNextStartIsRegistered)
{
    using Finding = relay::event::ServerProbed::Finding;
    const struct {
        const char* name;
        Finding finding;
        bool isQuarantined;
    } cases[] = {
        { "the probe does not tell", Finding::Unknown, true },
        { "the server is alive and is replaced later", Finding::Alive, false },
    };
    for (const auto& each : cases) {
        RelayHarness harness;
        std::uint64_t next = 1000;
        for (int crash = 0; crash < 3; ++crash) {
            const auto start = breakOffAtPlainServer(harness, next++);
            const auto probe = harness.last<relay::effect::ProbeServer>();
            CHECK_TRUE_TEXT(probe && probe->path == "/health", each.name);
            harness.send(relay::event::ServerProbed { start.server, each.finding });
            bool isAskedAgain = false;
            for (int wait = 0; wait < 50; ++wait) {
                harness.tick(milliseconds(20));
                isAskedAgain = isAskedAgain || harness.last<relay::effect::ProbeServer>();
            }
            CHECK_EQUAL_TEXT(each.finding == Finding::Unknown, isAskedAgain, each.name);
            registerSuccessor(harness, start.address, crash);
            harness.tick(milliseconds(1000));
        }
        callPlainService(harness, next);
        const auto refusal = harness.last<relay::effect::Refuse>();
        const bool isQuarantined = refusal && refusal->reason == Reason::CrashesServers;
        CHECK_EQUAL_TEXT(each.isQuarantined, isQuarantined, each.name);
    }
}

// Nothing that one workspace sends bears on another one's requests, and a verdict can be lifted.
TEST(RequestQuarantine, AVerdictOfTheStoreIsInForceUntilItIsLifted)
{
    RelayHarness harness;
    const RequestIdentity same { WorkspaceId("w"), {} };
    const RequestIdentity another { WorkspaceId("v"), {} };
    const auto isRefused = [&](std::uint64_t id) {
        CallSpec spec;
        spec.host = "h.example";
        spec.path = "/look/1";
        spec.key = "key";
        harness.send(relay::event::CallArrived { RequestId(id), spec });
        return harness.last<relay::effect::Refuse>().has_value();
    };
    harness.send(relay::event::QuarantineListed { another });
    CHECK_FALSE(isRefused(1000));
    harness.send(relay::event::QuarantineListed { same });
    CHECK_TRUE(harness.last<relay::effect::Refuse>().has_value()); // The call that was running.
    CHECK_TRUE(isRefused(1001));
    harness.send(relay::event::QuarantineLifted { same });
    CHECK_FALSE(isRefused(1002));
}
