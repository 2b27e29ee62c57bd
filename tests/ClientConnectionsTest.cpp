#include "shell/ClientConnections.h"
#include "shell/MetricFamilies.h"
#include "tests/Tests.h"

using namespace crocusmount;

TEST_GROUP(ClientConnections) {};

namespace {

ClientLimits limitsOf(std::size_t connections)
{
    ClientLimits limits;
    limits.memoryBytes = 1U << 20U;
    limits.connections = connections;
    limits.maxConnections = connections + 2;
    return limits;
}

} // namespace

// A crowd must not fill the log with its refusals.
TEST(ClientConnections, RefusalsAreAllCountedAndAtMostOneASecondIsLogged)
{
    constexpr std::uint64_t Refusals = 20000;
    for (std::size_t each = 0; each < ClientRefusalCount; ++each) {
        const auto refusal = static_cast<ClientRefusal>(each);
        std::uint64_t lines = 0;
        ClientConnections clients(limitsOf(10), [&](ClientRefusal, std::uint64_t) { ++lines; });
        const auto start = std::chrono::steady_clock::now();
        for (std::uint64_t count = 0; count < Refusals; ++count)
            clients.record(refusal);
        const auto passed = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start);
        CHECK_EQUAL(Refusals, clients.refusals(refusal));
        CHECK_TRUE(lines >= 1 && lines <= 1 + static_cast<std::uint64_t>(passed.count()));
        MetricFamilies families;
        clients.addMetrics(families);
        const std::string line
            = "crocusmount_client_refusals_total{reason=\"" + std::string(toString(refusal)) + "\"} 20000";
        CHECK_TRUE(families.serialize().find(line) != std::string::npos);
    }
}

// A connection that was ended by the account went on waiting for its client.
TEST(ClientConnections, AnEndedConnectionIsWokenUpAndToldWhy)
{
    ClientConnections clients(limitsOf(10));
    const auto large = clients.open().connection;
    const auto other = clients.open().connection;
    int wakeUps = 0;
    large->setOnEnded([&] { ++wakeUps; });
    CHECK_TRUE(large->receive(200U << 10U));
    for (int request = 0; request < 10; ++request)
        CHECK_TRUE(other->receive(static_cast<std::uint64_t>(request) << 10U));
    CHECK_FALSE(large->isEnded());
    std::vector<std::unique_ptr<ClientConnection>> crowd;
    for (int member = 0; member < 5; ++member) {
        crowd.push_back(clients.open().connection);
        crowd.back()->receive(200U << 10U);
    }
    CHECK_TRUE(large->isEnded());
    CHECK_EQUAL(1, wakeUps);
    CHECK_TRUE(large->cause() == ClientRefusal::MemoryFull);
    CHECK_FALSE(large->receive(1));
}

TEST(ClientConnections, AConnectionThatIsDestroyedIsFreed)
{
    ClientConnections clients(limitsOf(10));
    for (int each = 0; each < 1000; ++each) {
        const ClientConnections::Opened opened = clients.open();
        CHECK_TRUE(opened.entry == ClientAccount::Entry::Accepted);
        opened.connection->receive(100U << 10U);
    }
    CHECK_EQUAL(0U, clients.account().connections());
    CHECK_EQUAL(0U, clients.account().heldBytes());
}
