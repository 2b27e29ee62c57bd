#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>

namespace crocusmount::relay {

struct PermitAnswer;

/// This instance's permits for one server that names a limit, and its requests for more.
///
/// A permit expires after a short time, so that few are outstanding when the coordinator or the limit changes. While
/// the coordinator does not answer, no permits are available.
class ServerPermits {
public:
    /// @return whether a request may be sent to the server now
    bool areAvailable(TimePoint now) const { return m_available && now < m_expiresAt; }
    /// Uses up one available permit.
    void take() { --m_available; }

    /// @return whether to ask the coordinator now: no permit is available, no request is unanswered, and the wait that
    ///         the coordinator asked for is over
    bool shouldRequest(TimePoint now) const;
    /// Records that permits were requested.
    /// @param number  of the request
    void requested(std::uint64_t number, TimePoint now);
    /// Adds the granted permits. Ignores answers to any but the last request.
    void answered(const PermitAnswer&, TimePoint now);

    /// @return the earliest time at which a permit may be available
    TimePoint availableAt(TimePoint now) const;
    /// @return the expected time between two permits while more are wanted than granted; zero if all were granted
    Duration interval(TimePoint now) const;

private:
    /// @return whether the last request may still be answered
    bool isPending(TimePoint now) const;
    TimePoint nextRequestAt() const;

    std::uint32_t m_available = 0;
    TimePoint m_expiresAt; ///< of the available permits
    std::optional<std::uint64_t> m_pendingNumber; ///< of the request that has not been answered
    TimePoint m_requestedAt; ///< when the last request was made
    TimePoint m_nextRequestAt; ///< as asked for by the last answer
    Duration m_interval {};
};

} // namespace crocusmount::relay
