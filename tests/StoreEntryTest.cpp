#include "edge/OperatorEndpoints.h"
#include "platform/WireCodec.h"
#include "relay/RouteTable.h"
#include "shell/HttpClient.h"
#include "tests/StoreReader.h"
#include "tests/Tests.h"

#include <algorithm>
#include <boost/json.hpp>

using namespace crocusmount;
using namespace crocusmount::relay;

// Any client of the store can write an entry. An invalid entry removes the server or instance whose entry it replaces,
// and does not affect any others.
TEST_GROUP(StoreEntry) {};

namespace {

std::string validEntryWithout(const char* field)
{
    boost::json::object object = boost::json::parse(ValidEntry).as_object();
    object.erase(field);
    return boost::json::serialize(object);
}

StoreEvent serverEvent(const std::string& id, const std::string& value, std::int64_t revision)
{
    return { { "servers/" + id, value, revision }, false };
}

} // namespace

TEST(StoreEntry, ValidServerEntryIsDecoded)
{
    const auto server = platform::parseServer("i-1", ValidEntry);
    CHECK_TRUE(server.ok());
    CHECK_TRUE(server->leaving);
    CHECK_TEXT("card", server->accelerator);
    CHECK_TRUE((server->layers == LayerRange { 2, 7 }));
    CHECK_EQUAL(1768184554039, server->startedAt.value());
    CHECK_EQUAL(192U, server->slots);
    for (const std::string& entry :
        { validEntryWith("layers", "null"), validEntryWithout("layers"), validEntryWith("state", R"("ready")"),
            validEntryWithout("route_type"), validEntryWithout("born"), validEntryWith("another", R"({"deep":[1]})") })
        CHECK_TRUE_TEXT(platform::parseServer("i-1", entry).ok(), entry.c_str());
}

TEST(StoreEntry, InvalidServerEntryIsRejected)
{
    std::vector<std::string> invalidEntries { "", "{}", "[]", "null", "3", "\xff\xfe{}",
        std::string(ValidEntry).substr(0, 90), std::string(1U << 20U, 'x'), std::string(20000, '[') };
    for (const char* field :
        { "backend", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "seq" }) {
        invalidEntries.push_back(validEntryWithout(field));
        for (const char* value : { "null", "true", "[]", "{}", "-1" })
            invalidEntries.push_back(validEntryWith(field, value));
    }
    for (const char* value : { "null", "true", "0", "-5", "1.5", R"("1768184554039")", "9223372036854775808", "1e300" })
        invalidEntries.push_back(validEntryWith("born", value));
    for (const char* value : { "0", "1.5", "4294967297", "1e40", R"("192")" })
        invalidEntries.push_back(validEntryWith("slots", value));
    for (const char* value : { "\"\"", "\"leaving\"", "\"READY\"" })
        invalidEntries.push_back(validEntryWith("state", value));
    for (const char* value : { "\"\"", "\"1.2.3.4\"", "\"1.2.3.4:99999\"", "\"host:80\"", "\"1.2.3.4:\"" })
        invalidEntries.push_back(validEntryWith("address", value));
    for (const char* value : { "7", "[]", "{}", R"({"from":7,"target":2})", R"({"from":-1,"target":2})",
             R"({"from":0,"target":4294967299})", R"({"from":"0","target":"2"})", R"({"from":0})" })
        invalidEntries.push_back(validEntryWith("layers", value));
    invalidEntries.push_back(validEntryWith("route_type", "3"));
    for (const std::string& entry : invalidEntries)
        CHECK_FALSE_TEXT(platform::parseServer("i-1", entry).ok(), entry.substr(0, 300).c_str());
}

TEST(StoreEntry, InvalidEntryRemovesOnlyServerThatItReplaces)
{
    std::string beyondModel = validEntryWith("layers", R"({"from":2,"target":9})"); // The model has only eight layers.
    for (const std::string& invalidEntry : { validEntryWithout("seq"), validEntryWith("state", R"("x")"),
             validEntryWith("backend", R"("x")"), beyondModel }) {
        StoreReader reader;
        reader.follower.storeChanged(serverEvent("a", ValidEntry, 1));
        reader.follower.storeChanged(serverEvent("b", validEntryWith("address", R"("1.2.3.5:5")"), 2));
        CHECK_TEXT("a b ", reader.servers());
        reader.follower.storeChanged(serverEvent("a", invalidEntry, 3));
        CHECK_TEXT("b ", reader.servers());
        // An invalid entry under a new id, with the former address of server a, does not remove any server.
        reader.follower.storeChanged(serverEvent("c", invalidEntry, 4));
        CHECK_TEXT("b ", reader.servers());
        reader.follower.storeChanged(serverEvent("a", ValidEntry, 5));
        CHECK_TEXT("a b ", reader.servers());
    }
}

TEST(StoreEntry, ServerIsUsedOnceConfigurationContainsItsService)
{
    StoreReader reader;
    reader.follower.storeChanged(serverEvent("a", validEntryWith("backend", R"("later")"), 1));
    CHECK_TEXT("", reader.servers());
    ServiceConfiguration next = RelayHarness::configuration(2);
    next.services.push_back({ ServiceId("later"), std::nullopt, {} });
    reader.node.post(relay::event::ConfigurationAccepted { RouteTable::make(std::move(next)) });
    CHECK_TEXT("a ", reader.servers());
}

TEST(StoreEntry, InvalidInstanceEntryIsNotReturnedToCallers)
{
    const char* const validEntry = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"2.2.2.2:3"})";
    for (const char* invalidEntry :
        { "", "{}", "[]", R"({"address":"","data_centre":"z"})", R"({"address":7,"data_centre":"z"})",
            R"({"address":"2.2.2.2:2"})", R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"nowhere"})" }) {
        StoreReader reader;
        reader.follower.storeChanged({ { "crocusmount/instances/b", validEntry, 1 }, false });
        CHECK_EQUAL_TEXT(2U, reader.registry.callerAddresses().size(), invalidEntry);
        reader.follower.storeChanged({ { "crocusmount/instances/b", invalidEntry, 2 }, false });
        CHECK_EQUAL_TEXT(1U, reader.registry.callerAddresses().size(), invalidEntry);
        CHECK_EQUAL_TEXT(1U, reader.registry.unreadable(), invalidEntry);
    }
}

// An entry of an ended process replaced that of its successor at the same address. When its lease expired, the running
// instance was missing from the lists of the others for as long as it ran.
TEST(StoreEntry, InstanceIsListedInWhateverOrderEntriesOfItsAddressCome)
{
    struct Process {
        const char* id;
        std::int64_t revision;
    };
    // The ids are in another order than the starts, as they are random.
    std::vector<Process> processes { { "b", 3 }, { "c", 5 }, { "a", 9 } };
    const char* const value = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"2.2.2.2:3"})";
    const auto keyOf = [](const Process& process) { return std::string("crocusmount/instances/") + process.id; };
    std::sort(processes.begin(), processes.end(),
        [](const Process& a, const Process& b) { return std::string(a.id) < b.id; });
    do {
        for (const bool isReversed : { false, true }) {
            StoreReader reader;
            std::string order;
            for (const Process& process : processes) {
                reader.follower.storeChanged({ { keyOf(process), value, process.revision }, false });
                order += process.id;
                CHECK_EQUAL_TEXT(2U, reader.registry.count(), order.c_str());
            }
            CHECK_EQUAL_TEXT(std::string("a"), reader.registry.others().at(0).id, order.c_str());
            for (const char* expired : { isReversed ? "c" : "b", isReversed ? "b" : "c" }) {
                reader.follower.storeChanged({ { keyOf({ expired, 0 }), "", 10 }, true });
                CHECK_EQUAL_TEXT(2U, reader.registry.count(), order.c_str());
                CHECK_EQUAL_TEXT(std::string("a"), reader.registry.others().at(0).id, order.c_str());
            }
            reader.follower.storeChanged({ { keyOf({ "a", 0 }), "", 11 }, true });
            CHECK_EQUAL_TEXT(1U, reader.registry.count(), order.c_str());
        }
    } while (std::next_permutation(processes.begin(), processes.end(),
        [](const Process& a, const Process& b) { return std::string(a.id) < b.id; }));
}

// A write of an ended process that is carried out late takes the place of its successor only until its lease expires.
TEST(StoreEntry, InstanceIsListedAgainAfterALateEntryOfItsPredecessor)
{
    StoreReader reader;
    const char* const value = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":"2.2.2.2:3"})";
    reader.follower.storeChanged({ { "crocusmount/instances/new", value, 5 }, false });
    reader.follower.storeChanged({ { "crocusmount/instances/old", value, 6 }, false });
    CHECK_EQUAL(2U, reader.registry.count());
    reader.follower.storeChanged({ { "crocusmount/instances/old", "", 7 }, true });
    CHECK_EQUAL(2U, reader.registry.count());
    CHECK_EQUAL(std::string("new"), reader.registry.others().at(0).id);
}

TEST(StoreEntry, InvalidConfigurationLeavesCurrentOneInForce)
{
    StoreReader reader;
    reader.follower.storeChanged({ { "op/config", "{\"version\":\"x\"}", 1 }, false });
    CHECK_EQUAL(1U, reader.node.reducer().routes()->configuration().version);
    CHECK_EQUAL(1U, reader.follower.unreadable());
}

TEST(StoreEntry, CallersAreNotSentToSilentInstances)
{
    const struct {
        const char* name;
        int listedCount; ///< number of listed instances besides this one
        int silent;
        std::size_t addressCount;
    } cases[] = {
        { "none is silent", 5, 0, 6 },
        { "one is silent", 5, 1, 5 },
        { "fewer than half are silent", 5, 2, 4 },
        { "half are silent, so this instance may be cut off itself", 5, 3, 6 },
        { "all others are silent", 5, 5, 6 },
    };
    for (const auto& each : cases) {
        StoreReader reader;
        std::set<std::uint64_t> silent;
        for (int i = 0; i < each.listedCount; ++i) {
            const std::string id = std::to_string(i);
            const std::string value = R"({"address":"2.2.2.)" + id + R"(:2","data_centre":"z","peer_address":""})";
            reader.follower.storeChanged({ { "crocusmount/instances/" + id, value, 1 }, false });
            if (i < each.silent)
                silent.insert(instanceKey(InstanceId(id)));
        }
        reader.registry.setSilentInstances(std::move(silent));
        CHECK_EQUAL_TEXT(each.addressCount, reader.registry.callerAddresses().size(), each.name);
    }
}

// Guards against sending callers to an instance that shuts down while the store is silent. Its entry then stays in the
// store until its lease expires.
TEST(StoreEntry, CallersAreNotSentToLeavingInstance)
{
    StoreReader reader;
    const char* const entry = R"({"address":"2.2.2.2:2","data_centre":"z","peer_address":""})";
    reader.follower.storeChanged({ { "crocusmount/instances/b", entry, 1 }, false });
    reader.registry.noteLeaving(instanceKey(InstanceId("b")));
    CHECK_EQUAL(1U, reader.registry.callerAddresses().size());
    // The instance's entry is deleted. After its restart it has another id.
    reader.follower.storeChanged({ { "crocusmount/instances/b", "", 2 }, true });
    reader.follower.storeChanged({ { "crocusmount/instances/c", entry, 3 }, false });
    CHECK_EQUAL(2U, reader.registry.callerAddresses().size());
}

// Guards against a planner lock without a holder, which stopped all planning permanently.
TEST(StoreEntry, LockOfUnknownInstanceIsTakenOver)
{
    StoreReader reader;
    reader.follower.storeChanged({ { "crocusmount/planner", "no instance", 40 }, false });
    reader.registry.start();
    reader.lock.start();
    const auto isTakeOver = [](const StoreWrite& write) { return write.guardKey == "crocusmount/planner"; };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    auto takeOver = reader.store.writes.end();
    while (takeOver == reader.store.writes.end() && std::chrono::steady_clock::now() < end) {
        reader.context.run_one_for(std::chrono::milliseconds(100));
        takeOver = std::find_if(reader.store.writes.begin(), reader.store.writes.end(), isTakeOver);
    }
    CHECK_TRUE(takeOver != reader.store.writes.end());
    CHECK_EQUAL(40, takeOver->expectedModRevision);
}

namespace {

StoreEvent eventOf(const StoreWrite& write, std::int64_t revision)
{
    if (write.puts.empty())
        return { { write.deletes.front(), "", revision }, true };
    return { { write.puts.front().first, write.puts.front().second, revision }, false };
}

} // namespace

// A verdict of one instance must reach instances that start later, and deleting its entry must lift it on all of them.
TEST(StoreEntry, QuarantineIsWrittenReadAndLifted)
{
    ContentDigest content;
    content.bytes[3] = 7;
    const WorkspaceId workspace("a workspace");
    for (const RequestTrait& trait :
        { RequestTrait { workspace, content }, RequestTrait { workspace, PromptPartId("5c1e07a2") } }) {
        StoreReader finder;
        QuarantineSink& sink = finder.quarantine;
        sink.quarantine({ trait, 3, 6, true });
        finder.context.run_for(std::chrono::milliseconds(20));
        CHECK_EQUAL(1U, finder.store.writes.size());
        CHECK_EQUAL(0, finder.store.writes[0].expectedModRevision);

        StoreReader other;
        const StoreEvent listedEvent = eventOf(finder.store.writes[0], 9);
        other.follower.storeChanged(listedEvent);
        CHECK_TRUE(other.node.reducer().quarantine().isQuarantined(trait, other.node.now()));
        const std::string id = QuarantineStore::idOf(trait);
        CHECK_EQUAL(3U, other.quarantine.entries().at(id).servers);
        net::co_spawn(other.context, other.quarantine.lift(id), net::detached);
        other.context.run_for(std::chrono::milliseconds(20));
        CHECK_EQUAL(1U, other.store.writes.size());
        CHECK_EQUAL(9, other.store.writes[0].expectedModRevision);
        other.follower.storeChanged(eventOf(other.store.writes[0], 10));
        CHECK_FALSE(other.node.reducer().quarantine().isQuarantined(trait, other.node.now()));
    }
}

TEST(StoreEntry, InvalidQuarantineEntriesAreIgnored)
{
    StoreReader finder;
    const RequestTrait request { WorkspaceId("w"), ContentDigest {} };
    QuarantineSink& sink = finder.quarantine;
    sink.quarantine({ request, 3, 6, true });
    finder.context.run_for(std::chrono::milliseconds(20));
    const StoreEvent validEvent = eventOf(finder.store.writes.at(0), 9);
    const std::string values[] = { "", "[]", "{}", "\xff\xfe", validEvent.entry.value.substr(1),
        R"({"workspace":"w","content":"00"})", R"({"workspace":"w","content":7,"since_ms":"x"})",
        R"({"workspace":"v","content":"00000000000000000000000000000000","since_ms":1,"servers":3})" };
    StoreReader reader;
    for (const std::string& value : values)
        reader.follower.storeChanged({ { validEvent.entry.key, value, 9 }, false });
    CHECK_TRUE(reader.quarantine.entries().empty());
    CHECK_EQUAL(std::size(values), reader.quarantine.unreadable());
    CHECK_TRUE(reader.node.reducer().quarantine().empty());
}

namespace {

/// Answers all requests with 404. Used for those that OperatorEndpoints passes on.
class NotFoundHandler final : public HttpHandler {
    Awaitable<void> onExchange(HttpExchange& exchange) override
    {
        HttpReply reply;
        reply.status = 404;
        co_await exchange.respond(std::move(reply));
    }
};

} // namespace

TEST(StoreEntry, OperatorsListAndLiftQuarantines)
{
    StoreReader finder;
    QuarantineSink& sink = finder.quarantine;
    const RequestTrait request { WorkspaceId("w"), ContentDigest {} };
    sink.quarantine({ request, 3, 6, true });
    finder.context.run_for(std::chrono::milliseconds(20));
    StoreReader reader;
    reader.follower.storeChanged(eventOf(finder.store.writes.at(0), 9));
    NotFoundHandler notFound;
    OperatorEndpoints operators(reader.quarantine, notFound);
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
