#include "admission/ReturnSlots.h"
#include "admission/EventRate.h"
#include "admission/PromisedReturns.h"
#include "tests/Tests.h"

#include <cmath>

using namespace crocusmount;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ReturnSlots) {};

TEST(ReturnSlots, NoSlotIsGivenToMoreCallersThanItHasRoomFor)
{
    const ReturnSlots::Rates rates { 20, 12, 30 }; // 8 a second are left for returns
    ReturnSlots slots;
    const TimePoint now = timePoint(10'000'000);
    std::map<std::int64_t, int> given;
    std::int64_t last = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto offer = slots.book(now, seconds(6), true, rates, 0.3);
        if (!offer.slot)
            break;
        CHECK_TRUE(*offer.slot >= last);
        last = *offer.slot;
        ++given[last];
        CHECK_EQUAL(last, ReturnSlots::slotAt(now + offer.retryAfter));
        CHECK_TRUE(offer.retryAfter <= seconds(6));
    }
    CHECK_EQUAL(10U, given.size());
    for (const auto& [slot, callers] : given)
        CHECK_EQUAL(4, callers);
}

TEST(ReturnSlots, SmallSharesOfManyInstancesAddUpToTheRoom)
{
    // 295 instances with room for 0.43 returns a second each.
    const ReturnSlots::Rates rates { 1.72, 3, 3 };
    std::map<std::int64_t, int> given;
    for (int instance = 0; instance < 295; ++instance) {
        ReturnSlots slots;
        while (slots.book(timePoint(10'000'000), seconds(6), true, rates, instance / 295.0).slot) { }
        for (std::int64_t slot = 22; slot < 32; ++slot)
            given[slot] += static_cast<int>(slots.bookedIn(slot));
    }
    for (const auto& [slot, callers] : given)
        CHECK_TRUE(std::abs(callers - 295 * 0.215) <= 0.1 * 295 * 0.215);
}

TEST(ReturnSlots, ThePlaceOfACallerThatReturnedIsFree)
{
    const ReturnSlots::Rates rates { 8, 20, 20 }; // one a slot
    ReturnSlots slots;
    const TimePoint now = timePoint(10'000'000);
    const auto first = slots.book(now, seconds(6), true, rates, 0);
    const auto second = slots.book(now, seconds(6), true, rates, 0);
    CHECK_EQUAL(*first.slot + 1, *second.slot);
    slots.release(*first.slot);
    CHECK_EQUAL(*first.slot, *slots.book(now, seconds(6), true, rates, 0).slot);
}

TEST(ReturnSlots, AMoreUrgentCallMayTakeANearerSlot)
{
    const ReturnSlots::Rates rates { 40, 20, 50 }; // ten a slot, two of them for the most urgent rank
    ReturnSlots slots;
    const TimePoint now = timePoint(10'000'000);
    for (int i = 0; i < 8; ++i)
        CHECK_EQUAL(22, *slots.book(now, seconds(6), false, rates, 0).slot);
    CHECK_EQUAL(23, *slots.book(now, seconds(6), false, rates, 0).slot);
    CHECK_EQUAL(22, *slots.book(now, seconds(6), true, rates, 0).slot);
}

TEST(ReturnSlots, WithoutASlotAReturnIsUselessOnlyWhileMoreCallsArriveThanCanStart)
{
    const struct {
        const char* name;
        double arrivals;
        milliseconds latest;
        bool isUseless;
    } cases[] = { { "shortage goes on", 30, seconds(2), true }, { "shortage is over", 10, seconds(2), false },
        { "no time left", 10, milliseconds(300), true } };
    for (const auto& each : cases) {
        const ReturnSlots::Rates rates { 20, 20, each.arrivals };
        ReturnSlots slots;
        const TimePoint now = timePoint(10'000'000);
        auto offer = slots.book(now, each.latest, true, rates, 0.5);
        for (int i = 0; i < 100 && offer.slot; ++i)
            offer = slots.book(now, each.latest, true, rates, 0.5);
        CHECK_FALSE_TEXT(offer.slot.has_value(), each.name);
        CHECK_EQUAL_TEXT(each.isUseless, offer.retryAfter.count() == 0, each.name);
        CHECK_TRUE_TEXT(offer.retryAfter <= each.latest, each.name);
    }
}

TEST_GROUP(PromisedReturns) {};

TEST(PromisedReturns, ACallIsKnownUntilHalfASecondAfterItsSlot)
{
    const struct {
        std::int64_t at; ///< ms; the slot is from 12,000 to 12,500
        bool isKnown;
        bool isEarly;
        std::int64_t lateMs;
    } cases[] = { { 11'900, true, true, 0 }, { 11'960, true, false, 0 }, { 12'400, true, false, 0 },
        { 12'999, true, false, 499 }, { 13'000, false, false, 0 } };
    for (const auto& each : cases) {
        PromisedReturns promises;
        promises.add(7, timePoint(12'000'000), 24, timePoint(10'000'000));
        CHECK_FALSE(promises.take(8, timePoint(each.at * 1000)).has_value());
        const auto found = promises.take(7, timePoint(each.at * 1000));
        CHECK_EQUAL(each.isKnown, found.has_value());
        CHECK_FALSE(promises.take(7, timePoint(each.at * 1000)).has_value());
        if (!found)
            continue;
        CHECK_EQUAL(24, *found->slot);
        CHECK_EQUAL(each.isEarly, found->isEarly);
        CHECK_EQUAL(each.lateMs * 1000, found->late.count());
    }
}

TEST(PromisedReturns, NoMoreThanTheMaximumIsRemembered)
{
    PromisedReturns promises;
    for (std::uint64_t key = 0; key < 3 * PromisedReturns::MaxEntries; ++key)
        promises.add(key, timePoint(12'000'000), 24, timePoint(10'000'000));
    CHECK_EQUAL(PromisedReturns::MaxEntries, promises.size());
    CHECK_TRUE(promises.take(3 * PromisedReturns::MaxEntries - 1, timePoint(12'000'000)).has_value());
    // All are forgotten in time.
    promises.add(1, timePoint(100'000'000), std::nullopt, timePoint(90'000'000));
    CHECK_EQUAL(1U, promises.size());
}

TEST_GROUP(EventRate) {};

TEST(EventRate, FollowsTheEventsAndFallsWithoutThem)
{
    EventRate rate(seconds(3));
    CHECK_EQUAL(0, rate.perSecond(timePoint(0)));
    TimePoint now = timePoint(1'000'000);
    for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
        rate.add(now);
        CHECK_EQUAL(i + 1 >= EventRate::MinEvents, rate.isKnown());
        if (i >= 20)
            CHECK_TRUE(std::abs(rate.perSecond(now) - 10) < 1);
    }
    CHECK_TRUE(rate.perSecond(now + seconds(3)) < 4.2);
    CHECK_TRUE(rate.perSecond(now + seconds(60)) < 0.01);
}
