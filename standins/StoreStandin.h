#pragma once

#include "shell/HttpServer.h"
#include "shell/StoreClient.h"

#include <boost/json.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusmount {

/// Stands in for the platform's key-value service: answers the range, txn and watch calls of the published etcd v3 JSON
/// form and counts them. A rate limit, outages, slowness and lost replies can be set with POST /fault.
class StoreStandin final : public HttpHandler {
public:
    explicit StoreStandin(net::io_context&);

private:
    /// The current value of a key. Revisions and version are those of etcd.
    struct Value {
        std::string value;
        std::int64_t modRevision = 0;
        std::int64_t createRevision = 0;
        std::int64_t version = 0; ///< writes since the key was created
    };
    /// A write or deletion of a key, kept for watchers.
    struct Change {
        std::int64_t revision = 0;
        std::string key;
        std::string value;
        bool deleted = false;
    };
    /// An open watch on the keys from begin up to, not including, end. An empty end watches the key begin alone.
    struct Watcher {
        std::string begin;
        std::string end;
        std::int64_t nextRevision = 0; ///< first revision not yet sent
        std::shared_ptr<Timer> wakeTimer; ///< cancelled to wake the watch
        bool closed = false; ///< the caller closed the connection
    };
    /// Faults set with POST /fault.
    struct Faults {
        bool down = false; ///< connections are closed without an answer
        std::int64_t slowMs = 0; ///< delay before each call is handled
        std::uint64_t loseReplies = 0; ///< writes to apply and leave unanswered
        std::uint64_t dropWrites = 0; ///< writes to discard and leave unanswered
        std::int64_t writesPerSecond = 0; ///< excess writes get status 429, 0: no limit
    };

    Awaitable<void> onExchange(HttpExchange&) override;
    /// Streams the changes of the requested keys until the caller leaves or an outage is set. If the first requested
    /// revision is compacted, the answer names the compacted revision.
    Awaitable<void> watch(HttpExchange&, const boost::json::object& request);
    HttpReply range(const boost::json::object& request);
    HttpReply txn(const boost::json::object& request);
    HttpReply setFaults(const boost::json::object&);
    /// Answers /stats with the counts of calls, open watches and keys.
    HttpReply stats() const;
    /// @return whether the key of a compare has the expected mod_revision, 0 for a missing key
    bool compareSucceeds(const boost::json::object& compare) const;
    /// Applies a put or a range deletion of a transaction.
    void apply(const boost::json::object& operation, std::int64_t revision);
    /// Deletes the keys of a range and records the deletions.
    void erase(const std::string& begin, const std::string& end, std::int64_t revision);
    void wakeWatchers();
    /// Counts a write against the limit for the current second.
    /// @return whether the write is within the limit
    bool consumeWriteQuota();

    net::io_context& m_context;
    std::map<std::string, Value> m_values;
    std::vector<Change> m_changes; ///< since the last compaction
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0; ///< changes up to this revision are dropped
    std::list<std::shared_ptr<Watcher>> m_watchers;
    Faults m_faults;
    std::int64_t m_writesInWindow = 0;
    std::chrono::steady_clock::time_point m_windowStart; ///< start of the second in which writes are counted
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watchCalls = 0;
    std::uint64_t m_refusedWrites = 0;
};

} // namespace crocusmount
