#pragma once

#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"

#include <functional>

namespace crocusmount {

/// Sends attempts and health probes to backend servers and posts their results as events.
class BackendClient {
public:
    /// Posts an event to the node.
    using Post = std::function<void(EventBody)>;

    virtual ~BackendClient() = default;
    /// Starts an attempt. Its tokens and its end or failure are posted as events.
    void start(const effect::StartAttempt& attempt) { onStart(attempt); }
    /// Cancels an attempt, and no more events are posted for it. An attempt at a plain service is not cancelled.
    void cancel(AttemptId attempt) { onCancel(attempt); }
    /// Sends a health probe and posts BackendReported or BackendUnreachable.
    /// @param service  configuration of the server if it is a plain service, which returns no load report; null for
    ///     other servers
    void probe(const effect::ProbeBackend& probe, const BackendServer* service) { onProbe(probe, service); }

private:
    virtual void onStart(const effect::StartAttempt&) = 0;
    virtual void onCancel(AttemptId) = 0;
    virtual void onProbe(const effect::ProbeBackend&, const BackendServer* service) = 0;
};

} // namespace crocusmount
