#pragma once

#include "crocusmount/Configuration.h"
#include "crocusmount/PeerMessage.h"
#include "crocusmount/ReducerOptions.h"
#include "crocusmount/Stage.h"

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace crocusmount {

class Chain;
class WatchPlan;

/// Holds the state of each backend server: its configuration, its last report, whether it is reachable, and how much
/// work it gets.
class BackendTable {
public:
    explicit BackendTable(const ReducerOptions&);

    /// Replaces the configured servers. The state of servers that remain is kept.
    void apply(const Configuration&);

    /// Applies a report and marks the server reachable. Ignores outdated reports and those of unknown servers.
    /// @param asked     time at which the report was requested; its age counts from here
    /// @param sequence  set by the watcher that passed the report on, outdated if below the last one; 0 for a probe of
    ///                  this instance
    /// @return whether there was an earlier report and anything except the load has changed since
    bool report(const BackendReport&, TimePoint asked, TimePoint now, std::uint64_t sequence);
    /// Counts a missed probe.
    /// @return whether the server became unreachable with this probe
    bool recordMissedProbe(const BackendId&);
    /// Marks a server unreachable because a peer reported so, unless a later report has arrived.
    void markUnreachableByPeer(const BackendId&, std::uint64_t sequence);
    /// Marks a server unreachable after a failed attempt. It gets no new work until a report arrives.
    void suspect(const BackendId&);

    /// Expires all reports. A server gets no new work until a newer report arrives.
    void expireReports();

    /// Counts a stream of this instance on each stage of its chain.
    void streamStarted(const Chain&);
    /// Removes a stream that streamStarted counted.
    void streamEnded(const Chain&);
    /// Updates the slowness of the servers of a chain after an attempt. Slow servers lose weight.
    /// @param ratio  the attempt's mean token gap divided by the pipeline's average one
    void observeSlowness(const Chain&, double ratio);

    /// @param avoid     servers to mark as avoided; they are still returned
    /// @param headroom  limit on the streams of a server, as a multiple of the streams that fill its slots. A server at
    ///                  its limit is omitted
    /// @return the stages that can serve a pipeline now
    std::vector<Stage> stagesFor(
        const Pipeline&, TimePoint now, const std::vector<BackendId>& avoid, double headroom) const;

    /// @return the last known state of each configured server, in order of id
    std::vector<BackendNews> news(TimePoint now) const;
    /// @return the last known state of a server, or nothing if the server is unknown
    std::optional<BackendNews> newsOf(const BackendId&, TimePoint now) const;
    /// Sets the servers that this instance may send work to, from the plan.
    void setSubset(const WatchPlan&);
    /// @return a count that grows with each change of the configuration, of a server's reachability, or of a reported
    ///         model, layer range, generation or leaving state
    std::uint64_t version() const { return m_version; }
    /// @return whether the last report is so old that this instance should probe the server even if others watch it.
    ///         A server that this instance does not use is only stale before its first report
    bool isStale(const BackendId&, TimePoint now) const;

private:
    /// State of one backend server.
    struct Entry {
        BackendServer config;
        std::optional<BackendReport> report; ///< the last one; empty: none has arrived
        TimePoint reportedAt; ///< time at which the last report was requested
        TimePoint reachableSince; ///< the weight ramps up from here; earlier for a server that never failed
        std::uint64_t sequence = 0; ///< of the last change; orders the reports of watchers
        std::uint32_t missedProbes = 0; ///< since the last report
        std::uint32_t ownStreams = 0; ///< streams of this instance in progress
        double othersStreams = 0; ///< moving average of the streams of other instances, from the reports
        double slowness = 1; ///< moving average of the ratio of this server's token gaps to its pipeline's
        bool isConfigured = false; ///< in the current configuration
        bool isReachable = false;
        bool isUsed = true; ///< in the subset of servers that this instance sends work to
    };

    Entry* find(const BackendId&);
    const Entry* find(const BackendId&) const;
    /// @return whether a server may get work of a pipeline, regardless of its load
    bool isUsable(const Entry&, const Pipeline&, TimePoint now) const;
    /// @return the server's weight, above 0 and at most 1, reduced after a recovery and for slow servers
    double weightOf(const Entry&, TimePoint now) const;
    static BackendNews newsOf(const Entry&, TimePoint now);

    const ReducerOptions& m_options;
    std::vector<Entry> m_entries; ///< entries are never removed, so indexes stay valid
    std::map<BackendId, std::uint32_t> m_indexes; ///< positions in m_entries
    std::uint64_t m_version = 1; ///< see version()
};

} // namespace crocusmount
