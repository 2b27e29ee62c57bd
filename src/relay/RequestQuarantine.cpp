#include "relay/RequestQuarantine.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// Ends of servers further apart than this are not held against the same request.
    constexpr Duration CrashLifetime = std::chrono::minutes(10);
    /// By then its caller or the servers' operators have mended it, or it is found out again by one crash.
    constexpr Duration QuarantineTime = std::chrono::minutes(30);
    /// Requests that are remembered. Each costs a caller who means harm the end of a server.
    constexpr std::size_t MostRecords = 4096;
    /// Servers that are remembered of one request.
    constexpr std::size_t MostServers = RequestQuarantine::Limit;

} // namespace

std::uint32_t RequestQuarantine::pointsOf(CrashSign sign)
{
    switch (sign) {
    case CrashSign::None:
        return 0;
    case CrashSign::Waiting:
        return 1;
    case CrashSign::JustBegun:
        return 2;
    }
    return 0;
}

std::uint32_t RequestQuarantine::Record::points() const
{
    std::uint32_t sum = carried;
    for (const auto& [server, sign] : servers)
        sum += pointsOf(sign);
    return sum;
}

RequestQuarantine::Record& RequestQuarantine::recordOf(const RequestIdentity& request, TimePoint now)
{
    if (!m_records.count(request) && m_records.size() >= MostRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(),
            [](const auto& a, const auto& b) { return a.second.lastCrash < b.second.lastCrash; }));
    }
    Record& record = m_records[request];
    record.lastCrash = now;
    return record;
}

RequestQuarantine::Change RequestQuarantine::add(const CrashReport& report, TimePoint now)
{
    if (!pointsOf(report.suspect.sign))
        return Change::None;
    Record& record = recordOf(report.suspect.request, now);
    CrashSign& known = record.servers.try_emplace(report.server, CrashSign::None).first->second;
    if (known >= report.suspect.sign)
        return Change::None;
    known = report.suspect.sign;
    if (record.servers.size() > MostServers)
        record.servers.erase(record.servers.begin());
    if (record.quarantinedUntil || record.points() < Limit)
        return Change::Counted;
    record.quarantinedUntil = now + QuarantineTime;
    return Change::Quarantined;
}

bool RequestQuarantine::quarantine(const RequestIdentity& request, TimePoint now)
{
    Record& record = recordOf(request, now);
    if (record.quarantinedUntil)
        return false;
    record.quarantinedUntil = now + QuarantineTime;
    return true;
}

bool RequestQuarantine::clear(const RequestIdentity& request) { return m_records.erase(request) != 0; }

bool RequestQuarantine::isQuarantined(const RequestIdentity& request, TimePoint now) const
{
    const auto record = m_records.find(request);
    return record != m_records.end() && record->second.quarantinedUntil && now < *record->second.quarantinedUntil;
}

std::uint32_t RequestQuarantine::points(const RequestIdentity& request) const
{
    const auto record = m_records.find(request);
    return record == m_records.end() ? 0 : record->second.points();
}

std::size_t RequestQuarantine::servers(const RequestIdentity& request) const
{
    const auto record = m_records.find(request);
    return record == m_records.end() ? 0 : record->second.servers.size();
}

std::size_t RequestQuarantine::quarantined(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
        [&](const auto& each) { return each.second.quarantinedUntil && now < *each.second.quarantinedUntil; }));
}

void RequestQuarantine::forgetOld(TimePoint now)
{
    for (auto& [request, record] : m_records) {
        if (!record.quarantinedUntil || now < *record.quarantinedUntil)
            continue;
        record.quarantinedUntil.reset();
        record.lastCrash = now;
        record.servers.clear();
        record.carried = Limit - pointsOf(CrashSign::JustBegun);
    }
    std::erase_if(m_records, [&](const auto& each) {
        return !each.second.quarantinedUntil && now >= each.second.lastCrash + CrashLifetime;
    });
}

} // namespace crocusmount::relay
