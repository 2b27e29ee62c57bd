#include "admission/ClientAccount.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace std::chrono_literals;

TEST_GROUP(ClientAccount) {};

namespace {

constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MiB = 1024 * KiB;

/// @return limits of a process with this much memory for clients
ClientLimits limitsOf(std::uint64_t memoryBytes, std::size_t connections)
{
    ClientLimits limits;
    limits.memoryBytes = memoryBytes;
    limits.connections = connections;
    limits.maxConnections = connections + connections / 4;
    return limits;
}

/// Opens connections, and advances the time by this much for each.
std::vector<ConnectionId> openMany(ClientAccount& account, std::size_t count, TimePoint& now, Duration step = 1ms)
{
    std::vector<ConnectionId> opened;
    for (std::size_t each = 0; each < count; ++each) {
        opened.push_back(account.open(now).id);
        now += step;
    }
    return opened;
}

} // namespace

// ---- Memory

namespace {

/// A crowd whose requests grow and never end, beside a request that arrives at once.
struct Crowd {
    const char* name;
    std::size_t connections;
    std::uint64_t bytesOfEach; ///< that each connection sends in the end
    std::uint64_t step; ///< that it sends at a time
    std::uint64_t ordinaryBytes; ///< of the request that arrives at once
};

const Crowd crowds[] = {
    { "large bodies", 400, MiB, 64 * KiB, 2 * KiB },
    { "large bodies beside a large one", 400, MiB, 64 * KiB, MiB },
    { "small bodies", 1900, 100 * KiB, 4 * KiB, 2 * KiB },
    { "bodies as small as ordinary ones", 1900, 60 * KiB, 4 * KiB, 60 * KiB },
    { "a few over everything", 4, 64 * MiB, MiB, 2 * KiB },
};

} // namespace

// Requests that never ended took all memory.
TEST(ClientAccount, ACrowdThatDoesNotFinishStaysWithinTheMemoryAndLeavesOthersRoom)
{
    for (const Crowd& crowd : crowds) {
        ClientAccount account(limitsOf(25 * MiB, 2000));
        TimePoint now = timePoint(1000000);
        const std::vector<ConnectionId> members = openMany(account, crowd.connections, now);
        for (std::uint64_t bytes = crowd.step; bytes <= crowd.bytesOfEach; bytes += crowd.step) {
            for (const ConnectionId member : members)
                account.receive(member, bytes, now);
            now += 10ms;
            CHECK_TEXT("", account.heldBytes() <= 25 * MiB ? "" : crowd.name);
        }
        now += 1s;
        const ConnectionId ordinary = account.open(now).id;
        bool isServed = true;
        for (std::uint64_t bytes = KiB; bytes <= crowd.ordinaryBytes; bytes += KiB)
            isServed = isServed && account.receive(ordinary, bytes, now).isGranted;
        isServed = isServed && account.run(ordinary, crowd.ordinaryBytes, now).isGranted;
        CHECK_TEXT("", isServed ? "" : crowd.name);
        CHECK_TEXT("", account.heldBytes() <= 25 * MiB ? "" : crowd.name);
    }
}

TEST(ClientAccount, OneRequestOfTheLargestBodyIsServedInCalm)
{
    for (const std::uint64_t memory : { 100 * MiB, 260 * MiB, 4096 * MiB }) {
        const ClientLimits limits = ClientLimits::make(memory, 300);
        ClientAccount account(limits);
        const ConnectionId id = account.open(timePoint(1)).id;
        const std::uint64_t bytes = limits.maxBodyBytes() + limits.maxHeadBytes();
        CHECK_TRUE(account.hasRoomFor(limits.maxBodyBytes()));
        CHECK_TRUE(account.receive(id, bytes, timePoint(2)).isGranted);
        CHECK_TRUE(account.run(id, bytes, timePoint(3)).isGranted);
    }
}

TEST(ClientAccount, LargeRunningRequestsLeaveRoomForSmallOnes)
{
    ClientAccount account(limitsOf(25 * MiB, 2000));
    TimePoint now = timePoint(1);
    std::size_t large = 0;
    std::size_t refused = 0;
    for (const ConnectionId id : openMany(account, 1000, now))
        ++(account.receive(id, MiB, now).isGranted && account.run(id, MiB, now).isGranted ? large : refused);
    CHECK_TRUE(large > 5);
    CHECK_TRUE(refused > 0);
    CHECK_TRUE(account.heldBytes() <= 25 * MiB);
    std::size_t small = 0;
    for (const ConnectionId id : openMany(account, 100, now))
        small += account.receive(id, 8 * KiB, now).isGranted && account.run(id, 8 * KiB, now).isGranted;
    CHECK_EQUAL(100U, small);
    CHECK_TRUE(account.heldBytes() <= 25 * MiB);
}

TEST(ClientAccount, ARequestThatRunsIsNotEndedForOthers)
{
    ClientAccount account(limitsOf(4 * MiB, 100));
    TimePoint now = timePoint(1);
    const ConnectionId running = account.open(now).id;
    CHECK_TRUE(account.receive(running, MiB, now).isGranted);
    CHECK_TRUE(account.run(running, MiB, now).isGranted);
    now += 60s;
    for (const ConnectionId id : openMany(account, 120, now)) {
        for (std::uint64_t bytes = 4 * KiB; bytes < MiB; bytes += 4 * KiB) {
            for (const ConnectionId ended : account.receive(id, bytes, now).ended)
                CHECK_TRUE(ended != running);
        }
    }
    CHECK_TRUE(account.keepAnswer(running, 0, now).isGranted);
}

// Answers that nobody read took all memory.
TEST(ClientAccount, AnswersThatAreNotTakenAreEndedBeforeOthersAreRefused)
{
    ClientAccount account(limitsOf(8 * MiB, 1000));
    TimePoint now = timePoint(1);
    std::vector<ConnectionId> greedy = openMany(account, 100, now);
    for (const ConnectionId id : greedy) {
        account.receive(id, KiB, now);
        account.run(id, KiB, now);
        account.keepAnswer(id, MiB, now);
        CHECK_TRUE(account.heldBytes() <= 8 * MiB);
    }
    now += 1s;
    const ConnectionId ordinary = account.open(now).id;
    CHECK_TRUE(account.receive(ordinary, MiB, now).isGranted);
    CHECK_TRUE(account.run(ordinary, MiB, now).isGranted);
}

TEST(ClientAccount, WhatIsReleasedIsFreeAgain)
{
    ClientAccount account(limitsOf(8 * MiB, 1000));
    TimePoint now = timePoint(1);
    const ConnectionId id = account.open(now).id;
    for (int request = 0; request < 1000; ++request) {
        account.waitForRequest(id, now);
        CHECK_EQUAL(0U, account.heldBytes());
        CHECK_TRUE(account.receive(id, MiB, now).isGranted);
        CHECK_TRUE(account.run(id, MiB, now).isGranted);
        CHECK_TRUE(account.keepAnswer(id, MiB, now).isGranted);
        CHECK_TRUE(account.keepAnswer(id, 0, now).isGranted);
    }
    account.close(id);
    CHECK_EQUAL(0U, account.heldBytes());
    CHECK_EQUAL(0U, account.connections());
}

// ---- Connections

namespace {

enum class Doing { Waiting, Receiving, Running, Answering };
struct Others {
    const char* name;
    Doing doing;
    Duration sinceMs;
    ClientAccount::Entry entry; ///< of one more connection than the limit
};

const Others others[] = {
    { "old idle ones", Doing::Waiting, 2s, ClientAccount::Entry::Accepted },
    { "old unfinished ones", Doing::Receiving, 2s, ClientAccount::Entry::Accepted },
    { "new idle ones", Doing::Waiting, 100ms, ClientAccount::Entry::Rejected },
    { "new unfinished ones", Doing::Receiving, 100ms, ClientAccount::Entry::Rejected },
    { "running ones", Doing::Running, 60s, ClientAccount::Entry::Rejected },
    { "ones whose answers are not taken", Doing::Answering, 60s, ClientAccount::Entry::Rejected },
};

} // namespace

// Connections that did nothing kept all others out.
TEST(ClientAccount, ANewConnectionReplacesOneThatDoesNothing)
{
    for (const Others& other : others) {
        ClientAccount account(limitsOf(25 * MiB, 100));
        TimePoint now = timePoint(1);
        for (const ConnectionId id : openMany(account, 100, now, 0ms)) {
            if (other.doing != Doing::Waiting)
                account.receive(id, KiB, now);
            if (other.doing == Doing::Running || other.doing == Doing::Answering)
                account.run(id, KiB, now);
            if (other.doing == Doing::Answering)
                account.keepAnswer(id, KiB, now);
        }
        const ClientAccount::Opened opened = account.open(now + other.sinceMs);
        CHECK_TEXT("", opened.entry == other.entry ? "" : other.name);
        const std::size_t expectedEnds = other.entry == ClientAccount::Entry::Accepted ? 1 : 0;
        CHECK_EQUAL(expectedEnds, opened.ended.size());
    }
}

TEST(ClientAccount, AnIdleConnectionIsReplacedBeforeAnUnfinishedRequest)
{
    ClientAccount account(limitsOf(25 * MiB, 2));
    const ConnectionId receiving = account.open(timePoint(1)).id;
    account.receive(receiving, KiB, timePoint(1));
    const ConnectionId idle = account.open(timePoint(1000000)).id;
    const ClientAccount::Opened opened = account.open(timePoint(9000000));
    CHECK_EQUAL(1U, opened.ended.size());
    CHECK_TRUE(opened.ended.front() == idle);
}

TEST(ClientAccount, ConnectionsNeverExceedTheirMaximum)
{
    ClientAccount account(limitsOf(25 * MiB, 100));
    TimePoint now = timePoint(1);
    for (int each = 0; each < 10000; ++each) {
        account.open(now);
        now += 1ms;
        CHECK_TRUE(account.connections() <= 125);
    }
    CHECK_TRUE(account.open(now).entry == ClientAccount::Entry::Dropped);
}

// Clients' connections left no descriptors for servers.
TEST(ClientAccount, LimitsLeaveDescriptorsForServers)
{
    for (const std::size_t descriptors : { 100U, 300U, 3900U, 20000U }) {
        const ClientLimits limits = ClientLimits::make(260 * MiB, descriptors);
        CHECK_TRUE(limits.connections <= descriptors / 2);
        CHECK_TRUE(limits.maxConnections <= descriptors * 5 / 8 + 1);
        CHECK_TRUE(limits.receiveBufferBytes >= 4 * KiB);
    }
}
