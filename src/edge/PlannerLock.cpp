#include "edge/PlannerLock.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"

namespace crocusmount {

namespace {

    constexpr const char* PlannerKey = "crocusmount/planner";
    /// Nothing is planned for up to this time after the planner has died. Only one instance renews this lease.
    constexpr std::chrono::milliseconds LeaseLifetime { 2000 };
    /// Three renewals are sent within the lifetime of a lease, which expires if all three are lost.
    constexpr std::chrono::milliseconds RenewalInterval { 650 };
    /// The lease counts as expired this long before its end, because the clocks of the store and this instance may
    /// drift apart and a renewal takes time to arrive.
    constexpr std::chrono::milliseconds LeaseSafetyMargin { 300 };
    /// Interval at which an instance without the lock checks whether the lock is free.
    constexpr std::chrono::milliseconds FreeLockPollInterval { 200 };
    /// Time between the turns of two instances, within which the second one sees whether the first acquired the lock.
    constexpr std::chrono::milliseconds TurnInterval { 400 };
    /// A lock whose holder is unlisted for this long was not written by an instance, or not under the instance's lease:
    /// the lifetime of a lease and the grace period for lapsed entries are shorter together.
    constexpr std::chrono::milliseconds UnlistedHolderTimeout { 5000 };
    /// Time after the start within which an instance reads the entries of all instances that started with it.
    constexpr std::chrono::milliseconds InitialListTime { 600 };
    constexpr std::size_t MaxLoggedIdLength = 100;

} // namespace

PlannerLock::PlannerLock(
    net::io_context& context, StoreClient& store, LeaseClient& leases, const InstanceRegistry& registry)
    : m_context(context)
    , m_store(store)
    , m_leases(leases)
    , m_registry(registry)
{
}

void PlannerLock::start()
{
    m_holderLastValid = std::chrono::steady_clock::now();
    m_freeSince = m_holderLastValid + InitialListTime;
    net::co_spawn(m_context.get_executor(), lockLoop(), net::detached);
}

void PlannerLock::release()
{
    if (!std::exchange(m_isReleased, true) && m_lease.id)
        net::co_spawn(m_context.get_executor(), revokeLease(), net::detached);
}

void PlannerLock::storeChanged(const StoreEvent& event)
{
    if (event.entry.key != PlannerKey)
        return;
    m_holderId = event.deleted ? std::string() : event.entry.value;
    m_revision = event.deleted ? 0 : event.entry.modRevision;
    if (event.deleted)
        m_freeSince = std::chrono::steady_clock::now();
    relay::DecisionLog::state("planner_changed",
        { { "planner", m_holderId.substr(0, MaxLoggedIdLength) }, { "revision", event.entry.modRevision } });
}

bool PlannerLock::isOwnLock() const { return m_revision && m_holderId == m_registry.self().id; }

bool PlannerLock::isHeld() const
{
    return !m_isReleased && m_isEligible && isOwnLock()
        && std::chrono::steady_clock::now() + LeaseSafetyMargin < m_leaseExpiresAt;
}

bool PlannerLock::isFree(Time now) const { return m_revision == 0 || now > m_holderLastValid + UnlistedHolderTimeout; }

bool PlannerLock::isOwnTurn(Time now) const
{
    const Time since = m_revision == 0 ? m_freeSince : m_holderLastValid + UnlistedHolderTimeout;
    return now >= since + static_cast<int>(m_registry.rank()) * TurnInterval;
}

Awaitable<void> PlannerLock::lockLoop()
{
    Timer timer(m_context.get_executor());
    while (!m_isReleased) {
        timer.expires_after(isOwnLock() ? RenewalInterval : FreeLockPollInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        const Time now = std::chrono::steady_clock::now();
        if (m_revision == 0 || m_registry.isListed(m_holderId))
            m_holderLastValid = now;
        if (!m_isEligible)
            co_await revokeLease();
        else if (isOwnLock())
            co_await renewLease();
        else if (m_registry.isListed(m_registry.self().id) && isFree(now) && isOwnTurn(now))
            co_await tryAcquire();
    }
}

Awaitable<void> PlannerLock::tryAcquire()
{
    const Time requestedAt = std::chrono::steady_clock::now();
    if (!m_lease.id || requestedAt + RenewalInterval > m_leaseExpiresAt) {
        const auto lease = co_await m_leases.grantLease(LeaseLifetime);
        if (!lease.ok())
            co_return; // The store is unreachable or rejects the call. The client counts such calls.
        m_lease = *lease;
        m_leaseExpiresAt = requestedAt + m_lease.lifetime;
    }
    StoreWrite write;
    write.guardKey = PlannerKey;
    write.expectedModRevision = m_revision;
    write.puts.emplace_back(PlannerKey, m_registry.self().id);
    write.lease = m_lease.id;
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    if (result.outcome != WriteOutcome::Committed)
        co_return; // storeChanged() reports who acquired the lock, also if the store's answer was lost.
    m_holderId = m_registry.self().id;
    m_revision = result.revision;
}

Awaitable<void> PlannerLock::renewLease()
{
    if (!m_lease.id)
        co_return; // The lease has expired. storeChanged() will report that the lock is deleted.
    const Time requestedAt = std::chrono::steady_clock::now();
    const absl::Status status = co_await m_leases.keepLease(m_lease.id);
    if (status.ok()) {
        m_leaseExpiresAt = requestedAt + m_lease.lifetime;
    } else if (absl::IsNotFound(status)) {
        relay::DecisionLog::state("planner_lease_ended", { { "lease", m_lease.id } });
        m_lease = {};
    }
}

Awaitable<void> PlannerLock::revokeLease()
{
    const std::int64_t lease = m_lease.id;
    if (!lease)
        co_return;
    m_lease = {};
    const absl::Status status = co_await m_leases.endLease(lease);
    relay::DecisionLog::state("planner_withdrawn", { { "lease", lease }, { "store", status.ToString() } });
}

} // namespace crocusmount
