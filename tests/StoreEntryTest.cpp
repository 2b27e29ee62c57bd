#include "edge/InstanceRegistry.h"
#include "edge/OperatorEndpoints.h"
#include "edge/PlannerLock.h"
#include "edge/QuarantineStore.h"
#include "edge/RelayNode.h"
#include "platform/PlatformFollower.h"
#include "platform/WireCodec.h"
#include "platform/WireNames.h"
#include "relay/RouteTable.h"
#include "shell/HttpClient.h"
#include "tests/RelayHarness.h"
#include "tests/Tests.h"
#include "tests/fakes/NoControl.h"

#include <boost/json.hpp>

using namespace crocusmount;
using namespace crocusmount::relay;

// Any client of the store may write an entry. One that does not hold what it must names no server, the one that it
// replaces included, and all others hold.
TEST_GROUP(StoreEntry) {};

namespace {

const char* const GoodEntry = R"({"backend":"model","address":"1.2.3.4:5","zone":"z","version":"v1","slots":192,
    "state":"draining","cold_remaining_ms":0,"seq":3,"born":1768184554039,"route_type":"card",
    "layers":{"from":2,"target":7,"version":1}})";

std::string with(const char* field, const char* json)
{
    boost::json::object object = boost::json::parse(GoodEntry).as_object();
    object[field] = boost::json::parse(json);
    return boost::json::serialize(object);
}

std::string without(const char* field)
{
    boost::json::object object = boost::json::parse(GoodEntry).as_object();
    object.erase(field);
    return boost::json::serialize(object);
}

StoreEvent entryOf(const std::string& id, const std::string& value, std::int64_t revision)
{
    return { { "servers/" + id, value, revision }, false };
}

/// A store that is not there.
class NoStore final : public StoreClient, public LeaseClient {
public:
    std::vector<StoreWrite> writes;

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override { co_return gone(); }
    Awaitable<StoreWriteResult> onWrite(StoreWrite write) override
    {
        writes.push_back(std::move(write));
        co_return StoreWriteResult { WriteOutcome::Committed, 9 };
    }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t, OnWatch) override { co_return gone(); }
    Awaitable<absl::StatusOr<Lease>> onGrant(std::chrono::milliseconds) override
    {
        co_return Lease { 7, std::chrono::seconds(2) };
    }
    Awaitable<absl::Status> onKeep(std::int64_t) override { co_return absl::OkStatus(); }
    Awaitable<absl::Status> onEnd(std::int64_t) override { co_return absl::OkStatus(); }

    static absl::Status gone() { return absl::UnavailableError("no store"); }
};

/// What reads the store, with the harness's configuration in force.
struct Reader {
    net::io_context context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    NoControl control;
    RelayNode node { context, {}, platform::headerNames(), control };
    NoStore store;
    InstanceRegistry registry { context, store, store, { "self", "1.1.1.1:1", "z", "" } };
    PlannerLock lock { context, store, store, registry };
    QuarantineStore quarantine { context, store, node, registry };
    platform::PlatformFollower follower { node, registry, lock, quarantine };

    Reader() { node.post(relay::event::ConfigurationAccepted { RouteTable::make(RelayHarness::configuration()) }); }

    std::string servers() const
    {
        std::string ids;
        for (const auto& [id, server] : node.reducer().fleet().servers())
            ids += id.value() + " ";
        return ids;
    }
};

} // namespace

TEST(StoreEntry, ACompleteEntryIsDecoded)
{
    const auto server = platform::serverFrom("i-1", GoodEntry);
    CHECK_TRUE(server.ok());
    CHECK_TRUE(server->leaving);
    CHECK_TEXT("card", server->accelerator);
    CHECK_TRUE((server->layers == LayerRange { 2, 7 }));
    CHECK_EQUAL(1768184554039, server->startedAt.value());
    CHECK_EQUAL(192U, server->slots);
    for (const std::string& entry : { with("layers", "null"), without("layers"), with("state", R"("ready")"),
             without("route_type"), without("born"), with("another", R"({"deep":[1]})") })
        CHECK_TRUE_TEXT(platform::serverFrom("i-1", entry).ok(), entry.c_str());
}

TEST(StoreEntry, AnEntryThatLacksAFieldOrHoldsAnotherTypeNamesNoServer)
{
    std::vector<std::string> bad { "", "{}", "[]", "null", "3", "\xff\xfe{}", std::string(GoodEntry).substr(0, 90),
        std::string(1U << 20U, 'x'), std::string(20000, '[') };
    for (const char* field :
        { "backend", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "seq" }) {
        bad.push_back(without(field));
        for (const char* value : { "null", "true", "[]", "{}", "-1" })
            bad.push_back(with(field, value));
    }
    for (const char* value : { "null", "true", "0", "-5", "1.5", R"("1768184554039")", "9223372036854775808", "1e300" })
        bad.push_back(with("born", value));
    for (const char* value : { "0", "1.5", "4294967297", "1e40", R"("192")" })
        bad.push_back(with("slots", value));
    for (const char* value : { "\"\"", "\"leaving\"", "\"READY\"" })
        bad.push_back(with("state", value));
    for (const char* value : { "\"\"", "\"1.2.3.4\"", "\"1.2.3.4:99999\"", "\"host:80\"", "\"1.2.3.4:\"" })
        bad.push_back(with("address", value));
    for (const char* value : { "7", "[]", "{}", R"({"from":7,"target":2})", R"({"from":-1,"target":2})",
             R"({"from":0,"target":4294967299})", R"({"from":"0","target":"2"})", R"({"from":0})" })
        bad.push_back(with("layers", value));
    bad.push_back(with("route_type", "3"));
    for (const std::string& entry : bad)
        CHECK_FALSE_TEXT(platform::serverFrom("i-1", entry).ok(), entry.substr(0, 300).c_str());
}

TEST(StoreEntry, ABadEntryTakesTheServerThatItReplacesAndNoOther)
{
    std::string beyond = with("layers", R"({"from":2,"target":9})"); // The model has eight layers.
    for (const std::string& bad : { without("seq"), with("state", R"("x")"), with("backend", R"("x")"), beyond }) {
        Reader reader;
        reader.follower.storeChanged(entryOf("a", GoodEntry, 1));
        reader.follower.storeChanged(entryOf("b", with("address", R"("1.2.3.5:5")"), 2));
        CHECK_TEXT("a b ", reader.servers());
        reader.follower.storeChanged(entryOf("a", bad, 3));
        CHECK_TEXT("b ", reader.servers());
        // Also where it stands at the address of a server that lives.
        reader.follower.storeChanged(entryOf("c", bad, 4));
        CHECK_TEXT("b ", reader.servers());
        reader.follower.storeChanged(entryOf("a", GoodEntry, 5));
        CHECK_TEXT("a b ", reader.servers());
    }
}

TEST(StoreEntry, AnEntryCountsOnceAConfigurationKnowsItsService)
{
    Reader reader;
    reader.follower.storeChanged(entryOf("a", with("backend", R"("later")"), 1));
    CHECK_TEXT("", reader.servers());
    ServiceConfiguration next = RelayHarness::configuration(2);
    next.services.push_back({ ServiceId("later"), std::nullopt, {} });
    reader.node.post(relay::event::ConfigurationAccepted { RouteTable::make(std::move(next)) });
    CHECK_TEXT("a ", reader.servers());
}

TEST(StoreEntry, AnUnreadableInstanceIsNotNamedToCallers)
{
    const char* const good = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"2.2.2.2:3"})";
    for (const char* bad :
        { "", "{}", "[]", R"({"address":"","data_centre":"z"})", R"({"address":7,"data_centre":"z"})",
            R"({"address":"2.2.2.2:2"})", R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"nowhere"})" }) {
        Reader reader;
        reader.follower.storeChanged({ { "crocusmount/instances/b", good, 1 }, false });
        CHECK_EQUAL_TEXT(2U, reader.registry.callerAddresses().size(), bad);
        reader.follower.storeChanged({ { "crocusmount/instances/b", bad, 2 }, false });
        CHECK_EQUAL_TEXT(1U, reader.registry.callerAddresses().size(), bad);
        CHECK_EQUAL_TEXT(1U, reader.registry.unreadable(), bad);
    }
}

TEST(StoreEntry, AConfigurationThatCannotBeReadLeavesTheOneInForce)
{
    Reader reader;
    reader.follower.storeChanged({ { "op/config", "{\"version\":\"x\"}", 1 }, false });
    CHECK_EQUAL(1U, reader.node.reducer().routes()->configuration().version);
    CHECK_EQUAL(1U, reader.follower.unreadable());
}

TEST(StoreEntry, CallersAreNotSentToInstancesThatTheOthersMiss)
{
    const struct {
        const char* name;
        int listed; ///< beside this instance
        int silent;
        std::size_t named;
    } cases[] = {
        { "none is silent", 5, 0, 6 },
        { "one is silent", 5, 1, 5 },
        { "fewer than half are silent", 5, 2, 4 },
        { "half are silent: this one may be cut off itself", 5, 3, 6 },
        { "all others are silent", 5, 5, 6 },
    };
    for (const auto& each : cases) {
        Reader reader;
        std::set<std::uint64_t> silent;
        for (int i = 0; i < each.listed; ++i) {
            const std::string id = std::to_string(i);
            const std::string value = R"({"address":"2.2.2.)" + id + R"(:2","data_centre":"z","peer_address":""})";
            reader.follower.storeChanged({ { "crocusmount/instances/" + id, value, 1 }, false });
            if (i < each.silent)
                silent.insert(instanceKey(InstanceId(id)));
        }
        reader.registry.setSilent(std::move(silent));
        CHECK_EQUAL_TEXT(each.named, reader.registry.callerAddresses().size(), each.name);
    }
}

// The store was silent while instances were stopped: their entries stayed for as long as their leases.
TEST(StoreEntry, CallersAreNotSentToAnInstanceThatSaysItLeaves)
{
    Reader reader;
    const char* const entry = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":""})";
    reader.follower.storeChanged({ { "crocusmount/instances/b", entry, 1 }, false });
    reader.registry.noteLeaving(instanceKey(InstanceId("b")));
    CHECK_EQUAL(1U, reader.registry.callerAddresses().size());
    // Its entry goes; the next start has another id.
    reader.follower.storeChanged({ { "crocusmount/instances/b", "", 2 }, true });
    reader.follower.storeChanged({ { "crocusmount/instances/c", entry, 3 }, false });
    CHECK_EQUAL(2U, reader.registry.callerAddresses().size());
}

// The planner's lock held by nobody stopped all planning for good.
TEST(StoreEntry, ALockThatNamesNoInstanceIsTakenOver)
{
    Reader reader;
    reader.follower.storeChanged({ { "crocusmount/planner", "no instance", 40 }, false });
    reader.registry.start();
    reader.lock.start();
    const auto isTakeOver = [](const StoreWrite& write) { return write.guardKey == "crocusmount/planner"; };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    auto found = reader.store.writes.end();
    while (found == reader.store.writes.end() && std::chrono::steady_clock::now() < end) {
        reader.context.run_one_for(std::chrono::milliseconds(100));
        found = std::find_if(reader.store.writes.begin(), reader.store.writes.end(), isTakeOver);
    }
    CHECK_TRUE(found != reader.store.writes.end());
    CHECK_EQUAL(40, found->expectedModRevision);
}

namespace {

StoreEvent eventOf(const StoreWrite& write, std::int64_t revision)
{
    if (write.puts.empty())
        return { { write.deletes.front(), "", revision }, true };
    return { { write.puts.front().first, write.puts.front().second, revision }, false };
}

} // namespace

// What one instance found out is read by those that start later, and lifted for all by a deletion.
TEST(StoreEntry, AVerdictOnARequestIsWrittenReadAndLifted)
{
    Reader finder;
    RequestIdentity request { WorkspaceId("a workspace"), {} };
    request.content.bytes[3] = 7;
    QuarantineSink& sink = finder.quarantine;
    sink.quarantine({ request, 3, 6, true });
    finder.context.run_for(std::chrono::milliseconds(20));
    CHECK_EQUAL(1U, finder.store.writes.size());
    CHECK_EQUAL(0, finder.store.writes[0].expectedModRevision);

    Reader other;
    const StoreEvent listed = eventOf(finder.store.writes[0], 9);
    other.follower.storeChanged(listed);
    CHECK_TRUE(other.node.reducer().quarantine().isQuarantined(request, other.node.now()));
    const std::string id = QuarantineStore::idOf(request);
    CHECK_EQUAL(3U, other.quarantine.entries().at(id).servers);
    net::co_spawn(other.context, other.quarantine.lift(id), net::detached);
    other.context.run_for(std::chrono::milliseconds(20));
    CHECK_EQUAL(1U, other.store.writes.size());
    CHECK_EQUAL(9, other.store.writes[0].expectedModRevision);
    other.follower.storeChanged(eventOf(other.store.writes[0], 10));
    CHECK_FALSE(other.node.reducer().quarantine().isQuarantined(request, other.node.now()));
}

TEST(StoreEntry, WhatIsNoVerdictQuarantinesNothing)
{
    Reader finder;
    const RequestIdentity request { WorkspaceId("w"), {} };
    QuarantineSink& sink = finder.quarantine;
    sink.quarantine({ request, 3, 6, true });
    finder.context.run_for(std::chrono::milliseconds(20));
    const StoreEvent sound = eventOf(finder.store.writes.at(0), 9);
    const std::string values[] = { "", "[]", "{}", "\xff\xfe", sound.entry.value.substr(1),
        R"({"workspace":"w","content":"00"})", R"({"workspace":"w","content":7,"since_ms":"x"})",
        R"({"workspace":"v","content":"00000000000000000000000000000000","since_ms":1,"servers":3})" };
    Reader reader;
    for (const std::string& value : values)
        reader.follower.storeChanged({ { sound.entry.key, value, 9 }, false });
    CHECK_TRUE(reader.quarantine.entries().empty());
    CHECK_EQUAL(std::size(values), reader.quarantine.unreadable());
    CHECK_TRUE(reader.node.reducer().quarantine().empty());
}

namespace {

/// Answers what is not the operators' to ask.
class NothingElse final : public HttpHandler {
    Awaitable<void> onExchange(HttpExchange& exchange) override
    {
        HttpReply reply;
        reply.status = 404;
        co_await exchange.respond(std::move(reply));
    }
};

} // namespace

TEST(StoreEntry, OperatorsSeeAndLiftVerdicts)
{
    Reader finder;
    QuarantineSink& sink = finder.quarantine;
    const RequestIdentity request { WorkspaceId("w"), {} };
    sink.quarantine({ request, 3, 6, true });
    finder.context.run_for(std::chrono::milliseconds(20));
    Reader reader;
    reader.follower.storeChanged(eventOf(finder.store.writes.at(0), 9));
    NothingElse others;
    OperatorEndpoints operators(reader.quarantine, others);
    const auto server = HttpServer::make(reader.context, "127.0.0.1:0", HttpLimits(), operators);
    CHECK_TRUE(server.ok());
    const std::string id = QuarantineStore::idOf(request);
    const struct {
        http::verb verb;
        std::string target;
        unsigned status;
        std::string contains;
    } cases[] = { { http::verb::get, "/quarantine", 200, id }, { http::verb::delete_, "/quarantine/none", 404, "" },
        { http::verb::get, "/metrics", 404, "" }, { http::verb::delete_, "/quarantine/" + id, 200, "" } };
    for (const auto& each : cases) {
        HttpClient client(reader.context);
        HttpAnswer answer;
        HttpCall call;
        call.address = (*server)->address();
        call.verb = each.verb;
        call.target = each.target;
        call.timeout = std::chrono::seconds(5);
        net::co_spawn(
            reader.context, [&]() -> Awaitable<void> { answer = co_await client.call(std::move(call)); },
            net::detached);
        for (int i = 0; i < 200 && !answer.status; ++i)
            reader.context.run_for(std::chrono::milliseconds(20));
        CHECK_EQUAL_TEXT(each.status, answer.status, each.target.c_str());
        CHECK_TRUE_TEXT(answer.body.find(each.contains) != std::string::npos, each.target.c_str());
    }
    CHECK_EQUAL(1U, reader.store.writes.size());
}
