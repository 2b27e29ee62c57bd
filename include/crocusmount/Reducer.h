#pragma once

#include "crocusmount/Counters.h"
#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"
#include "crocusmount/ReducerOptions.h"

#include <absl/status/statusor.h>
#include <memory>

namespace crocusmount {

struct Configuration;
class ReducerState;

/// The core of the router, which makes all decisions. It turns events into effects and keeps the state that this needs.
/// It reads no clock, opens no socket and generates no random numbers, so identical sequences of events give identical
/// effects.
class Reducer {
public:
    /// Creates a reducer.
    /// @return the reducer; InvalidArgument with the name of the option if the instance id is empty, claimShards or
    ///         maxAttempts is 0, or the picker is unknown
    static absl::StatusOr<std::unique_ptr<Reducer>> make(const ReducerOptions& options);
    ~Reducer();
    Reducer(const Reducer&) = delete;
    Reducer& operator=(const Reducer&) = delete;

    /// Processes one event.
    /// @param effects  output: the resulting effects are appended in the order in which they are to be performed
    void reduce(const Event& event, Effects& effects);

    /// @return the counters since the creation of this reducer
    const Counters& counters() const;
    /// @return the configuration in force
    const Configuration& configuration() const;
    /// @return the changes after a revision, or the complete configuration if these changes are no longer known
    ConfigurationChange configurationSince(Revision) const;
    /// @return all known instances, including this one, in order of id
    std::vector<MemberUpdate> members() const;
    /// @param now  time to which the ages of the reports refer
    /// @return the last known state of each configured backend server, in order of id
    std::vector<BackendNews> backends(TimePoint now) const;
    /// @return number of requests that were accepted and have no final answer yet
    std::size_t openRequests() const;
    /// @return whether this instance was asked to drain
    bool isDraining() const;
    /// @return the alive instances that the callers of a workspace should use, best first; see docs/api.md
    std::vector<MemberUpdate> entriesFor(const WorkspaceId&) const;

private:
    explicit Reducer(std::unique_ptr<ReducerState>);

    std::unique_ptr<ReducerState> m_state;
};

} // namespace crocusmount
