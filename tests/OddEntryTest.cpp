#include "edge/PeerCopyCodec.h"
#include "edge/PeerDatagram.h"
#include "edge/StoreCopySource.h"
#include "platform/WireCodec.h"
#include "tests/StoreReader.h"
#include "tests/Tests.h"

using namespace crocusmount;
using namespace crocusmount::relay;

// Another writer leaves one odd entry among those of the servers or instances. Readers ended, or no longer followed the
// list.
TEST_GROUP(OddEntry) {};

namespace {

enum class Way { AtStart, Watched, InPeerCopy };
constexpr Way Ways[] = { Way::AtStart, Way::Watched, Way::InPeerCopy };

std::string nested(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += R"({"layers":)";
    return text + "0" + std::string(depth, '}');
}

struct OddEntry {
    std::string key;
    std::string value;
};

std::string instanceEntry(const std::string& address, const std::string& peerAddress)
{
    return R"({"address":")" + address + R"(","data_centre":"z","peer_address":")" + peerAddress + R"("})";
}

std::string withRaw(const char* field, const std::string& number)
{
    std::string text = validEntryWith(field, "\"RAW\"");
    return text.replace(text.find("\"RAW\""), 5, number);
}

std::vector<OddEntry> oddServerEntries()
{
    std::vector<OddEntry> entries { { "servers/0", nested(5000) }, { "servers/0", std::string(100000, '[') },
        { "servers/0", withRaw("layers", nested(60)) }, { "servers/0\r\nX-Another: 1", ValidEntry },
        { "servers/", ValidEntry } };
    for (const char* number : { "18446744073709551616", "1e999", "-1e999", "9223372036854775808" }) {
        for (const char* field : { "slots", "seq", "born" })
            entries.push_back({ "servers/0", withRaw(field, number) });
        entries.push_back({ "servers/0", withRaw("layers", R"({"from":0,"target":)" + std::string(number) + "}") });
    }
    for (const char* address : { R"("1.2.3.4:65536")", R"("1.2.3.4:99999999999999999999")", R"("1.2.3.4:-1")",
             R"("1.2.3.4:0")", R"("1.2.3.4:+80")" })
        entries.push_back({ "servers/0", validEntryWith("address", address) });
    return entries;
}

std::vector<OddEntry> oddInstanceEntries()
{
    std::vector<OddEntry> entries { { "crocusmount/instances/0", nested(5000) },
        { "crocusmount/instances/0", std::string(100000, '[') } };
    for (const char* address : { "1.2.3.4:65536", "1.2.3.4:99999999999999999999", "1.2.3.4:-1", "1.2.3.4:0" }) {
        entries.push_back({ "crocusmount/instances/0", instanceEntry(address, "") });
        entries.push_back({ "crocusmount/instances/0", instanceEntry("1.2.3.4:80", address) });
    }
    return entries;
}

/// A store that lists entries, and returns further ones to the first watch.
class ListingStore final : public StoreClient {
public:
    StoreRange listed { 10, {} };
    StoreWatchBatch watched { 10, {} };
    bool isReachable = true;

private:
    Awaitable<absl::StatusOr<StoreRange>> onRange(std::string, std::string) override
    {
        if (!isReachable)
            co_return absl::UnavailableError("no store");
        co_return listed;
    }
    Awaitable<StoreWriteResult> onWrite(StoreWrite) override { co_return StoreWriteResult(); }
    Awaitable<absl::Status> onWatch(std::string, std::string, std::int64_t, OnWatch onWatch) override
    {
        if (!std::exchange(m_wasWatched, true))
            onWatch(watched);
        co_return absl::UnavailableError("the watch was cut");
    }

    bool m_wasWatched = false;
};

/// Gives a copy as another instance does, encoded and decoded.
class EncodedCopySource final : public StoreCopySource {
public:
    StoreRange range;

private:
    Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> onCopyNewerThan(std::int64_t) override
    {
        const StoreMirror::PeerCopy copy { StoreMirror::Progress(), StoreMirror::Copy { range } };
        co_return decodePeerCopy(encodePeerCopy(copy));
    }
};

/// Lets a reader receive an odd entry, between two others of servers and instances.
/// @return the reader, once it has received the others or after a second and a half
std::unique_ptr<StoreReader> readOddEntry(const OddEntry& odd, Way way)
{
    const StoreEntry others[] = { { "crocusmount/instances/1", instanceEntry("2.2.2.2:2", "2.2.2.2:3"), 2 },
        { "servers/a", ValidEntry, 3 }, { "servers/b", validEntryWith("address", R"("1.2.3.5:5")"), 9 } };
    ListingStore store;
    EncodedCopySource copies;
    auto reader = std::make_unique<StoreReader>();
    StoreMirror mirror(reader->context, store, [&](const StoreEvent& event) { reader->follower.storeChanged(event); });
    mirror.setCopySource(copies);
    store.isReachable = way != Way::InPeerCopy;
    StoreRange& listed = way == Way::InPeerCopy ? copies.range : store.listed;
    listed.revision = 10;
    listed.entries = { others[0], others[1] };
    if (way == Way::Watched) {
        store.watched = { 13, { { { odd.key, odd.value, 12 }, false }, { others[2], false } } };
        store.watched.events[1].entry.modRevision = 13;
    } else {
        listed.entries.push_back({ odd.key, odd.value, 8 });
        listed.entries.push_back(others[2]);
    }
    mirror.start();
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    while (reader->servers().find('b') == std::string::npos && std::chrono::steady_clock::now() < end)
        reader->context.run_for(std::chrono::milliseconds(5));
    reader->context.stop();
    return reader;
}

} // namespace

TEST(OddEntry, OfAServerDoesNotKeepReadersFromTheOthers)
{
    for (const Way way : Ways) {
        for (const OddEntry& odd : oddServerEntries()) {
            const std::string name
                = std::to_string(static_cast<int>(way)) + " " + odd.key + " " + odd.value.substr(0, 200);
            const auto reader = readOddEntry(odd, way);
            CHECK_EQUAL_TEXT(std::string("a b "), reader->servers(), name.c_str());
            CHECK_EQUAL_TEXT(1U, reader->follower.unreadable(), name.c_str());
            CHECK_EQUAL_TEXT(2U, reader->registry.count(), name.c_str());
        }
    }
}

TEST(OddEntry, OfAnInstanceDoesNotKeepReadersFromTheOthers)
{
    for (const Way way : Ways) {
        for (const OddEntry& odd : oddInstanceEntries()) {
            const std::string name = std::to_string(static_cast<int>(way)) + " " + odd.value.substr(0, 200);
            const auto reader = readOddEntry(odd, way);
            CHECK_EQUAL_TEXT(std::string("a b "), reader->servers(), name.c_str());
            CHECK_EQUAL_TEXT(1U, reader->registry.unreadable(), name.c_str());
            CHECK_EQUAL_TEXT(2U, reader->registry.count(), name.c_str());
        }
    }
}

// A verdict that begins in the far future would keep a request from all servers for ever.
TEST(OddEntry, OfAQuarantineDoesNotOutliveItsLifetime)
{
    const RequestTrait request { WorkspaceId("w"), ContentDigest {} };
    const std::string id = QuarantineStore::idOf(request);
    for (const char* since : { "9223372036854775807", "-9223372036854775808", "1e999", "18446744073709551615" }) {
        StoreReader reader;
        const std::string value
            = R"({"workspace":"w","content":"00000000000000000000000000000000","servers":3,"since_ms":)"
            + std::string(since) + "}";
        reader.follower.storeChanged({ { "crocusmount/quarantine/" + id, value, 9 }, false });
        CHECK_EQUAL_TEXT(1U, reader.quarantine.unreadable(), since);
        CHECK_FALSE_TEXT(reader.node.reducer().quarantine().isQuarantined(request, reader.node.now()), since);
    }
}

// Limits of a configuration that do not fit their types must not end calls at once.
TEST(OddEntry, NumberInAConfigurationIsLimited)
{
    const auto configuration = platform::parseConfiguration(
        R"({"version":2,"routes":[{"name":"r","timeout_ms":1e300,"target_latency_ms":-1e300,"priority_class":1e300}],
            "limits":{"max_header_bytes":1e300,"max_body_bytes":1e300,"idle_timeout_ms":1e300}})");
    CHECK_TRUE(configuration.ok());
    const Route& route = configuration->routes.at(0);
    CHECK_TRUE(route.timeout > std::chrono::hours(1) && route.timeout <= std::chrono::hours(24 * 366));
    CHECK_TRUE(route.objective >= Duration(0));
    CHECK_TRUE(route.rank > 0);
    CHECK_TRUE(configuration->limits.headerBytes > 16384); // Became 0, so that each request was refused.
    CHECK_TRUE(configuration->limits.bodyBytes > 0);
    CHECK_TRUE(configuration->limits.idleTimeout <= std::chrono::hours(24 * 366));
}
