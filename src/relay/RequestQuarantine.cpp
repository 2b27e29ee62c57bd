#include "relay/RequestQuarantine.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// The evidence against a request is dropped if no crash has been reported for this long.
    constexpr Duration EvidenceLifetime = std::chrono::minutes(10);
    /// Gives the caller or the operators time to fix the cause. If they have not, one more crash quarantines the
    /// request again.
    constexpr Duration QuarantineDuration = std::chrono::minutes(30);
    /// Limits memory. A malicious caller has to crash a server for each record.
    constexpr std::size_t MaxRecords = 4096;
    /// Servers that are remembered for one request. Even with the weakest sign, this many reach the limit.
    constexpr std::size_t MaxServersPerRequest = RequestQuarantine::Limit;

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
    std::uint32_t sum = carriedPoints;
    for (const auto& [server, sign] : servers)
        sum += pointsOf(sign);
    return sum;
}

RequestQuarantine::Record& RequestQuarantine::touchRecord(const RequestIdentity& request, TimePoint now)
{
    if (!m_records.count(request) && m_records.size() >= MaxRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(),
            [](const auto& a, const auto& b) { return a.second.lastEvidenceAt < b.second.lastEvidenceAt; }));
    }
    Record& record = m_records[request];
    record.lastEvidenceAt = now;
    return record;
}

RequestQuarantine::Change RequestQuarantine::add(const CrashReport& report, TimePoint now)
{
    if (!pointsOf(report.suspect.sign))
        return Change::None;
    Record& record = touchRecord(report.suspect.request, now);
    CrashSign& known = record.servers.try_emplace(report.server, CrashSign::None).first->second;
    if (known >= report.suspect.sign)
        return Change::None;
    known = report.suspect.sign;
    if (record.servers.size() > MaxServersPerRequest)
        record.servers.erase(record.servers.begin());
    if (record.quarantinedUntil || record.points() < Limit)
        return Change::Counted;
    record.quarantinedUntil = now + QuarantineDuration;
    return Change::Quarantined;
}

bool RequestQuarantine::quarantine(const RequestIdentity& request, TimePoint now)
{
    Record& record = touchRecord(request, now);
    if (record.quarantinedUntil)
        return false;
    record.quarantinedUntil = now + QuarantineDuration;
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

std::size_t RequestQuarantine::serverCount(const RequestIdentity& request) const
{
    const auto record = m_records.find(request);
    return record == m_records.end() ? 0 : record->second.servers.size();
}

std::size_t RequestQuarantine::quarantinedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
        [&](const auto& each) { return each.second.quarantinedUntil && now < *each.second.quarantinedUntil; }));
}

void RequestQuarantine::removeExpired(TimePoint now)
{
    for (auto& [request, record] : m_records) {
        if (!record.quarantinedUntil || now < *record.quarantinedUntil)
            continue;
        record.quarantinedUntil.reset();
        record.lastEvidenceAt = now;
        record.servers.clear();
        record.carriedPoints = Limit - pointsOf(CrashSign::JustBegun);
    }
    std::erase_if(m_records, [&](const auto& each) {
        return !each.second.quarantinedUntil && now >= each.second.lastEvidenceAt + EvidenceLifetime;
    });
}

} // namespace crocusmount::relay
