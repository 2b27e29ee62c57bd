#include "relay/PermitIssuer.h"

#include "relay/Spread.h"

#include <algorithm>
#include <utility>

namespace crocusmount::relay {

namespace {

    /// An issuer that has just begun grants a part of the rate, because for this time some instances may still ask the
    /// previous one.
    constexpr Duration HandoverSpan = std::chrono::seconds(2);
    constexpr double HandoverShare = 0.5;
    /// A bucket that was not asked for this long begins again, since another instance may have coordinated the server.
    constexpr Duration IdleSpan = std::chrono::seconds(5);
    /// Unused permits are kept for this long.
    constexpr double BucketSeconds = 0.25;
    /// Instances of a server with a very high limit would otherwise ask without a pause.
    constexpr Duration MinRetryAfter = std::chrono::milliseconds(5);
    constexpr Duration MaxRetryAfter = std::chrono::seconds(4);
    /// Requests to expect for each permit that becomes available.
    constexpr double RequestsPerPermit = 2;
    /// The times at which instances ask again are spread between these multiples of the computed time.
    constexpr double MinSpread = 0.75;
    constexpr double MaxSpread = 1.25;

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double bucketSize(double perSecond) { return perSecond > 0 ? std::max(1.0, BucketSeconds * perSecond) : 0; }

} // namespace

PermitAnswer PermitIssuer::answer(const PermitRequest& request, TimePoint now, std::uint64_t entropy)
{
    std::erase_if(m_buckets, [&](const auto& each) { return now - each.second.refilledAt > IdleSpan; });
    const auto [position, isNew] = m_buckets.try_emplace(request.server);
    Bucket& bucket = position->second;
    if (isNew)
        bucket.startedAt = bucket.refilledAt = now;
    if (request.limit.askedAt >= bucket.limit.askedAt)
        bucket.limit = request.limit;
    refill(bucket, now);
    PermitAnswer answer { request.server, request.number, 0, {}, bucket.limit };
    if (!request.count || !bucket.limit.isNamed())
        return answer;
    bucket.requesters[request.sender] = now;
    // Servers may name limits that exceed the type of a count.
    answer.granted = static_cast<std::uint32_t>(std::min(static_cast<double>(request.count), bucket.permits));
    bucket.permits -= answer.granted;
    if (answer.granted < request.count)
        answer.retryAfter = retryAfter(bucket, entropy);
    return answer;
}

bool PermitIssuer::shouldAnnounce(std::uint64_t server)
{
    const auto found = m_buckets.find(server);
    if (found == m_buckets.end())
        return false;
    const bool isNamed = found->second.limit.isNamed();
    return std::exchange(found->second.isAnnounced, isNamed) != isNamed;
}

void PermitIssuer::refill(Bucket& bucket, TimePoint now)
{
    const double limit = bucket.limit.perSecond.value_or(0);
    const double share = now - bucket.startedAt < HandoverSpan ? HandoverShare : 1;
    const double added = share * limit * inSeconds(now - bucket.refilledAt);
    bucket.permits = std::min(bucketSize(limit), bucket.permits + added);
    bucket.refilledAt = now;
    std::erase_if(bucket.requesters, [&](const auto& each) { return now - each.second > MaxRetryAfter; });
}

/// If all instances asked again as soon as a permit is available, their requests would grow with the number of
/// instances. They ask again so late that all of them together make RequestsPerPermit requests for each permit.
Duration PermitIssuer::retryAfter(const Bucket& bucket, std::uint64_t entropy)
{
    const double limit = bucket.limit.perSecond.value_or(0);
    if (limit <= 0)
        return MaxRetryAfter;
    const double untilNextPermit = std::max(0.0, 1 - bucket.permits) / limit;
    const double turn = static_cast<double>(bucket.requesters.size()) / (RequestsPerPermit * limit);
    const double spread = MinSpread + (MaxSpread - MinSpread) * uniformFraction(entropy, 0);
    const double seconds = std::min(inSeconds(MaxRetryAfter), std::max(untilNextPermit, turn) * spread);
    return std::max(MinRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace crocusmount::relay
