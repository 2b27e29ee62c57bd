#include "edge/PlannerLock.h"

#include "edge/DecisionLog.h"
#include "edge/InstanceRegistry.h"

namespace crocusmount {

namespace {

    constexpr const char* PlannerKey = "crocusmount/planner";
    /// For so long nothing is planned after the planner has died. One instance alone renews this lease.
    constexpr std::chrono::milliseconds LeaseLifetime { 2000 };
    /// Three renewals may be lost before the lease ends.
    constexpr std::chrono::milliseconds KeepInterval { 650 };
    /// Clocks of the store and this instance may run apart, and a renewal takes time to arrive.
    constexpr std::chrono::milliseconds LeaseMargin { 300 };
    /// How often a free lock is looked for.
    constexpr std::chrono::milliseconds LookInterval { 200 };
    /// Between the turns of two instances: by then the next one has seen whether the one before took the lock.
    constexpr std::chrono::milliseconds TurnInterval { 400 };
    /// A lock whose holder is not listed for so long was not written by an instance, or not under its lease: a lease
    /// and the time for which lapsed entries are waited for are shorter together.
    constexpr std::chrono::milliseconds StrayLockTime { 5000 };
    /// After its start an instance has read the entries of all that started with it.
    constexpr std::chrono::milliseconds ListComplete { 600 };
    constexpr std::size_t LongestIdInLogs = 100;

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
    m_strayLockSince = std::chrono::steady_clock::now();
    m_freeSince = m_strayLockSince + ListComplete;
    net::co_spawn(m_context.get_executor(), lockLoop(), net::detached);
}

void PlannerLock::release()
{
    if (!std::exchange(m_released, true) && m_lease.id)
        net::co_spawn(m_context.get_executor(), endLease(), net::detached);
}

void PlannerLock::storeChanged(const StoreEvent& event)
{
    if (event.entry.key != PlannerKey)
        return;
    m_holder = event.deleted ? std::string() : event.entry.value;
    m_revision = event.deleted ? 0 : event.entry.modRevision;
    if (event.deleted)
        m_freeSince = std::chrono::steady_clock::now();
    relay::DecisionLog::state("planner_changed",
        { { "planner", m_holder.substr(0, LongestIdInLogs) }, { "revision", event.entry.modRevision } });
}

bool PlannerLock::isOwn() const { return m_revision && m_holder == m_registry.self().id; }

bool PlannerLock::isHeld() const
{
    return !m_released && isOwn() && std::chrono::steady_clock::now() + LeaseMargin < m_leaseEnds;
}

bool PlannerLock::isFree(Time now) const { return m_revision == 0 || now > m_strayLockSince + StrayLockTime; }

bool PlannerLock::isOurTurn(Time now) const
{
    const Time since = m_revision == 0 ? m_freeSince : m_strayLockSince + StrayLockTime;
    return now >= since + static_cast<int>(m_registry.rank()) * TurnInterval;
}

Awaitable<void> PlannerLock::lockLoop()
{
    Timer timer(m_context.get_executor());
    while (!m_released) {
        timer.expires_after(isOwn() ? KeepInterval : LookInterval);
        co_await timer.async_wait(net::as_tuple(useAwaitable));
        const Time now = std::chrono::steady_clock::now();
        if (m_revision == 0 || m_registry.isListed(m_holder))
            m_strayLockSince = now;
        if (isOwn())
            co_await keep();
        else if (m_registry.isListed(m_registry.self().id) && isFree(now) && isOurTurn(now))
            co_await tryToTake();
    }
}

Awaitable<void> PlannerLock::tryToTake()
{
    const Time asked = std::chrono::steady_clock::now();
    if (!m_lease.id || asked + KeepInterval > m_leaseEnds) {
        const auto lease = co_await m_leases.grantLease(LeaseLifetime);
        if (!lease.ok())
            co_return; // The store is away or turns this instance away; the client counts such calls.
        m_lease = *lease;
        m_leaseEnds = asked + m_lease.lifetime;
    }
    StoreWrite write;
    write.guardKey = PlannerKey;
    write.expectedModRevision = m_revision;
    write.puts.emplace_back(PlannerKey, m_registry.self().id);
    write.lease = m_lease.id;
    const StoreWriteResult result = co_await m_store.write(std::move(write));
    if (result.outcome != WriteOutcome::Committed)
        co_return; // Whoever won, the mirror tells; also where the answer was lost.
    m_holder = m_registry.self().id;
    m_revision = result.revision;
}

Awaitable<void> PlannerLock::keep()
{
    if (!m_lease.id)
        co_return; // It has ended; the mirror will show the lock gone.
    const Time asked = std::chrono::steady_clock::now();
    const absl::Status status = co_await m_leases.keepLease(m_lease.id);
    if (status.ok()) {
        m_leaseEnds = asked + m_lease.lifetime;
    } else if (absl::IsNotFound(status)) {
        relay::DecisionLog::state("planner_lease_ended", { { "lease", m_lease.id } });
        m_lease = {};
    }
}

Awaitable<void> PlannerLock::endLease()
{
    const std::int64_t lease = m_lease.id;
    const absl::Status status = co_await m_leases.endLease(lease);
    relay::DecisionLog::state("planner_withdrawn", { { "lease", lease }, { "store", status.ToString() } });
}

} // namespace crocusmount
