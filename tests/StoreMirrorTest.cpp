#include "edge/StoreMirror.h"
#include "edge/PeerCopyCodec.h"
#include "edge/StoreCopySource.h"
#include "tests/Tests.h"
#include "tests/fakes/SharedStore.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <memory>
#include <random>

using namespace crocusmount;
using std::chrono::milliseconds;

namespace {

using Clock = SharedStore::Clock;

/// The time for which a deletion may be deferred after an outage.
constexpr milliseconds DeletionGrace { 2300 };
/// The longest time between two answers of a store to an instance that watches it, and the work that goes with it.
constexpr milliseconds AnswerInterval { 1000 };

class MirrorGroup;

/// An instance's copy of the store, and what it has reported of it.
class MirrorInstance final : public StoreCopySource {
public:
    MirrorInstance(MirrorGroup&, std::size_t number);

    SharedStoreClient& client() { return m_client; }
    StoreMirror& mirror() { return m_mirror; }
    bool has(const std::string& key) const { return m_reported.count(key) > 0; }
    std::size_t size() const { return m_reported.size(); }
    std::size_t number() const { return m_number; }
    /// @return how often an entry was reported that was not there
    int additionsOf(const std::string& key) const
    {
        const auto found = m_additions.find(key);
        return found == m_additions.end() ? 0 : found->second;
    }

private:
    Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> onCopyNewerThan(std::int64_t revision) override;

    MirrorGroup& m_group;
    std::size_t m_number;
    SharedStoreClient m_client;
    std::map<std::string, std::int64_t> m_reported;
    std::map<std::string, int> m_additions;
    StoreMirror m_mirror;
};

/// Instances of two data centres with one store. The instances of a data centre feed each other.
class MirrorGroup {
public:
    explicit MirrorGroup(net::io_context& context)
        : m_context(context)
    {
    }

    net::io_context& context() { return m_context; }
    SharedStore& store() { return m_store; }
    MirrorInstance& at(std::size_t number) { return *m_instances.at(number); }
    std::size_t size() const { return m_instances.size(); }

    void add() { m_instances.push_back(std::make_unique<MirrorInstance>(*this, m_instances.size())); }
    /// Starts an instance anew. The coroutines of the one before run on, without a link.
    void restart(std::size_t number)
    {
        m_instances[number]->client().setCut(true);
        m_ended.push_back(std::move(m_instances[number]));
        m_instances[number] = std::make_unique<MirrorInstance>(*this, number);
    }
    /// Whether an instance gives copies only to this one, takes none and is not fed.
    void setGiver(std::size_t number) { m_giver = number; }
    /// @return the instance that another one asks for its copy
    MirrorInstance& peerOf(std::size_t number)
    {
        return m_giver ? at(*m_giver) : at((number + 1 + ++m_nextPeer % (size() - 1)) % size());
    }
    bool isCurrent(const MirrorInstance& instance) const
    {
        return std::any_of(
            m_instances.begin(), m_instances.end(), [&](const auto& each) { return each.get() == &instance; });
    }
    static bool areMates(std::size_t one, std::size_t other) { return one != other && one % 2 == other % 2; }

    /// Lets distributors of changes report their progress to the others of their data centre.
    void shareProgress()
    {
        for (const auto& sender : m_instances) {
            for (const auto& receiver : m_instances) {
                if (areMates(sender->number(), receiver->number()) && sender->mirror().distributesChanges())
                    receiver->mirror().notePeerProgress(sender->mirror().progress());
            }
        }
    }
    void shareChanges(const MirrorInstance& sender, const StoreMirror::Changes& changes)
    {
        for (const auto& receiver : m_instances) {
            if (isCurrent(sender) && areMates(sender.number(), receiver->number()) && random(10))
                receiver->mirror().applyPeerChanges(changes);
        }
    }

    void seed(std::uint64_t value) { m_random.seed(value); }
    std::uint64_t random(std::uint64_t bound) { return m_random() % bound; }

private:
    net::io_context& m_context;
    SharedStore m_store;
    std::vector<std::unique_ptr<MirrorInstance>> m_instances;
    std::vector<std::unique_ptr<MirrorInstance>> m_ended;
    std::optional<std::size_t> m_giver;
    std::size_t m_nextPeer = 0;
    std::mt19937_64 m_random;
};

MirrorInstance::MirrorInstance(MirrorGroup& group, std::size_t number)
    : m_group(group)
    , m_number(number)
    , m_client(group.context(), group.store())
    , m_mirror(group.context(), m_client, [this](const StoreEvent& event) {
        if (event.deleted) {
            m_reported.erase(event.entry.key);
        } else {
            if (m_reported.insert_or_assign(event.entry.key, event.entry.modRevision).second)
                ++m_additions[event.entry.key];
        }
    })
{
    m_mirror.setCopySource(*this);
    m_mirror.setWatchRank(number / 2);
    m_mirror.setOnBatch([this](const StoreMirror::Changes& changes) { m_group.shareChanges(*this, changes); });
    m_mirror.start();
}

Awaitable<absl::StatusOr<StoreMirror::PeerCopy>> MirrorInstance::onCopyNewerThan(std::int64_t revision)
{
    Timer timer(m_group.context().get_executor());
    timer.expires_after(milliseconds(5));
    co_await timer.async_wait(net::as_tuple(useAwaitable));
    MirrorInstance& peer = m_group.peerOf(m_number);
    if (&peer == this || !m_group.isCurrent(*this) || !peer.mirror().isCurrent())
        co_return absl::UnavailableError("no current copy");
    StoreMirror::PeerCopy copy { peer.mirror().progress(), {} };
    if (peer.mirror().revision() > revision)
        copy.newer = peer.mirror().copy();
    co_return decodePeerCopy(encodePeerCopy(copy));
}

void runFor(net::io_context& context, milliseconds span)
{
    context.restart();
    context.run_for(span);
}

/// Three instances of which the last two are in other data centres than the first. The store holds "servers/a" and
/// "servers/b".
struct CopyFixture {
    net::io_context context { BOOST_ASIO_CONCURRENCY_HINT_UNSAFE };
    MirrorGroup group { context };

    CopyFixture()
    {
        group.store().put("servers/a");
        group.store().put("servers/b");
        for (int i = 0; i < 2; ++i)
            group.add();
        group.setGiver(0);
        runFor(context, milliseconds(600));
    }
    /// Lets the first instance defer deletions, as after an outage of the store.
    void deferAtFirst() { group.at(0).mirror().notePeerProgress({ 0, milliseconds(0), DeletionGrace }); }
};

} // namespace

TEST_GROUP(StoreMirror) {};

// Requests reached a server for minutes after its entry had been removed: the sender had taken a copy of a later
// revision that still held the entry, and so never heard of the removal.
TEST(StoreMirror, AnInstanceThatTakesACopyDropsTheEntriesWhoseDeletionTheGiverDefers)
{
    CopyFixture fixture;
    MirrorGroup& group = fixture.group;
    group.at(1).client().setCut(true);
    runFor(fixture.context, milliseconds(1300));
    fixture.deferAtFirst();
    group.store().remove("servers/a");
    runFor(fixture.context, milliseconds(1000));
    CHECK_EQUAL(group.store().revision(), group.at(1).mirror().revision());
    CHECK_TRUE(group.at(0).has("servers/a") && group.at(1).has("servers/a"));
    runFor(fixture.context, DeletionGrace - milliseconds(1000) + AnswerInterval);
    CHECK_FALSE(group.at(0).has("servers/a"));
    CHECK_FALSE(group.at(1).has("servers/a"));
    group.at(1).client().setCut(false);
    runFor(fixture.context, milliseconds(1500));
    CHECK_FALSE(group.at(1).has("servers/a"));
    CHECK_TRUE(group.at(0).has("servers/b") && group.at(1).has("servers/b"));
}

// An entry that the receiver had removed came back with the copy of an instance that deferred the removal.
TEST(StoreMirror, AnEntryThatIsGoneDoesNotComeBackWithACopy)
{
    CopyFixture fixture;
    MirrorGroup& group = fixture.group;
    fixture.deferAtFirst();
    group.store().remove("servers/a");
    runFor(fixture.context, milliseconds(700));
    CHECK_TRUE(group.at(0).has("servers/a"));
    CHECK_FALSE(group.at(1).has("servers/a"));
    group.at(1).client().setCut(true);
    group.store().put("servers/c");
    runFor(fixture.context, milliseconds(1500));
    CHECK_TRUE(group.at(1).has("servers/c"));
    CHECK_EQUAL(1, group.at(1).additionsOf("servers/a"));
}

// A process that starts while the store does not answer it knows the servers that the others keep, for as long as they
// do.
TEST(StoreMirror, AStartedInstanceKeepsDeferredEntriesUntilTheGraceTimeOfTheGiverEnds)
{
    CopyFixture fixture;
    MirrorGroup& group = fixture.group;
    fixture.deferAtFirst();
    group.store().remove("servers/a");
    runFor(fixture.context, milliseconds(500));
    group.restart(1);
    group.at(1).client().setCut(true);
    runFor(fixture.context, milliseconds(600));
    CHECK_TRUE(group.at(1).has("servers/a") && group.at(1).has("servers/b"));
    runFor(fixture.context, DeletionGrace - milliseconds(1100) + AnswerInterval);
    CHECK_FALSE(group.at(1).has("servers/a"));
    CHECK_TRUE(group.at(1).has("servers/b"));
}

// An instance that alone had lost the store deferred deletions afterwards, and passed that on.
TEST(StoreMirror, DeletionsAreDeferredOnlyIfTheStoreAnsweredNobody)
{
    for (const bool isDown : { false, true }) {
        CopyFixture fixture;
        MirrorGroup& group = fixture.group;
        if (isDown)
            group.store().setDown(true);
        else
            group.at(1).client().setCut(true);
        runFor(fixture.context, milliseconds(2600));
        group.store().setDown(false);
        if (isDown) // The other one, which the store has begun to answer again, does not show that it was up.
            runFor(fixture.context, milliseconds(500));
        group.at(1).client().setCut(false);
        runFor(fixture.context, milliseconds(700));
        CHECK_EQUAL(isDown, group.at(1).mirror().progress().lapseGrace > milliseconds(0));
    }
}

// A process that started without the store, and took a copy, would have told the others to defer deletions, too.
TEST(StoreMirror, AStartedInstanceThatTakesACopyAtOnceDefersNoDeletions)
{
    CopyFixture fixture;
    MirrorGroup& group = fixture.group;
    group.restart(1);
    group.at(1).client().setCut(true);
    runFor(fixture.context, milliseconds(1400));
    CHECK_TRUE(group.at(1).mirror().isComplete());
    CHECK_EQUAL(0, group.at(1).mirror().progress().lapseGrace.count());
    group.store().remove("servers/a");
    runFor(fixture.context, AnswerInterval);
    CHECK_FALSE(group.at(1).has("servers/a"));
}

// What a watch reports late, after the copy of another instance was taken, is older than that copy.
TEST(StoreMirror, AnEarlierChangeDoesNotBringADeletedEntryBack)
{
    CopyFixture fixture;
    StoreMirror& mirror = fixture.group.at(1).mirror();
    const std::int64_t revision = mirror.revision();
    mirror.applyPeerChanges({ revision, { revision + 5, { { { "servers/a", "", revision + 5 }, true } } } });
    CHECK_FALSE(fixture.group.at(1).has("servers/a"));
    mirror.applyPeerChanges({ revision - 5,
        { revision + 6,
            { { { "servers/a", "value", revision + 1 }, false },
                { { "servers/c", "value", revision + 6 }, false } } } });
    CHECK_FALSE(fixture.group.at(1).has("servers/a"));
    CHECK_TRUE(fixture.group.at(1).has("servers/c"));
}

namespace {

/// Faults of one group, drawn from a seed, and the promises that hold all the while.
///
/// - An entry that was removed while the store had been up for the stable time is gone two seconds later at each
///   instance in touch: for the stable time, the store has been up, and the instance has run and had a path to it.
/// - Some seconds after the last fault, each copy equals the store.
class MirrorFaults {
public:
    static constexpr milliseconds StableTime { 3000 };
    static constexpr milliseconds DrainTime { 2000 };
    static constexpr milliseconds Interval { 50 };

    MirrorFaults(net::io_context& context, std::uint64_t seed)
        : m_group(context)
        , m_seed(seed)
    {
        m_group.seed(seed);
        const std::size_t count = 2 + m_group.random(4);
        for (int key = 0; key < 6; ++key)
            m_group.store().put(absl::StrCat("servers/", key));
        for (std::size_t i = 0; i < count; ++i) {
            m_group.add();
            m_touchedAt.push_back(Clock::time_point());
            m_cutUntil.push_back(Clock::time_point());
        }
    }

    /// Draws faults, and checks the first promise. Called at the interval.
    /// @param awake  time without that for which this process stood still
    void step(Clock::time_point awake, bool hasFaults)
    {
        m_now = awake;
        if (m_step++ % 3 == 0)
            m_group.shareProgress();
        endFaults(!hasFaults);
        if (hasFaults && m_group.random(6) == 0)
            draw();
        check();
    }

    /// @return what differs between the copies and the store; empty if nothing does
    std::string differences()
    {
        std::string found = m_broken;
        for (std::size_t i = 0; i < m_group.size(); ++i) {
            const auto& entries = m_group.store().entries();
            const bool isEqual = m_group.at(i).size() == entries.size()
                && std::all_of(
                    entries.begin(), entries.end(), [&](const auto& each) { return m_group.at(i).has(each.first); });
            if (!isEqual)
                absl::StrAppend(&found, "seed ", m_seed, ": the copy of instance ", i, " differs from the store; ");
        }
        return found;
    }

private:
    void endFaults(bool all)
    {
        for (std::size_t i = 0; i < m_group.size(); ++i) {
            if (m_group.at(i).client().isCut()) {
                m_touchedAt[i] = m_now;
                if (all || m_now >= m_cutUntil[i])
                    m_group.at(i).client().setCut(false);
            }
        }
        if (m_group.store().isDown()) {
            m_downAt = m_now;
            if (all || m_now >= m_downUntil)
                m_group.store().setDown(false);
        }
    }

    void draw()
    {
        const std::size_t instance = m_group.random(m_group.size());
        const milliseconds span(300 + m_group.random(2700));
        const std::string key = absl::StrCat("servers/", m_group.random(9));
        switch (m_group.random(9)) {
        case 0:
        case 1:
        case 2:
            cut(instance, span);
            break;
        case 3:
            m_group.store().setDown(true);
            m_downUntil = m_now + span;
            break;
        case 4:
            m_group.restart(instance);
            m_touchedAt[instance] = m_now;
            m_cutUntil[instance] = Clock::time_point();
            break;
        case 5:
        case 6:
            m_group.store().put(key);
            m_removedAt.erase(key);
            break;
        default:
            remove(key);
        }
    }

    /// Cuts an instance off from the store, unless that would leave none that has a path.
    void cut(std::size_t instance, milliseconds span)
    {
        std::size_t connected = 0;
        for (std::size_t i = 0; i < m_group.size(); ++i)
            connected += i != instance && !m_group.at(i).client().isCut() ? 1 : 0;
        if (!connected)
            return;
        m_group.at(instance).client().setCut(true);
        m_cutUntil[instance] = m_now + span;
    }

    void remove(const std::string& key)
    {
        if (!m_group.store().entries().count(key))
            return;
        m_group.store().remove(key);
        if (!m_group.store().isDown() && m_now - m_downAt >= StableTime)
            m_removedAt[key] = m_now;
        else
            m_removedAt.erase(key);
    }

    void check()
    {
        if (m_now - m_downAt < StableTime)
            return;
        for (const auto& [key, at] : m_removedAt) {
            for (std::size_t i = 0; i < m_group.size() && m_broken.empty(); ++i) {
                const bool isInTouch = m_now - m_touchedAt[i] >= StableTime;
                if (isInTouch && m_now - at > DrainTime && m_group.at(i).has(key))
                    m_broken = absl::StrCat("seed ", m_seed, ": instance ", i, " has ", key, " ",
                        std::chrono::duration_cast<milliseconds>(m_now - at).count(), " ms after its removal; ");
            }
        }
    }

    MirrorGroup m_group;
    std::uint64_t m_seed;
    std::vector<Clock::time_point> m_touchedAt; ///< by instance: last moment of a fault there
    std::vector<Clock::time_point> m_cutUntil; ///< by instance
    Clock::time_point m_downAt; ///< last moment of an outage
    Clock::time_point m_downUntil;
    std::map<std::string, Clock::time_point> m_removedAt; ///< entries that were removed while the store was stable
    Clock::time_point m_now;
    int m_step = 0;
    std::string m_broken;
};

} // namespace

// Copies kept entries that the store had deleted, in one of three runs with cuts, outages and restarts of instances.
TEST(StoreMirror, CopiesFollowTheStoreUnderFaults)
{
    constexpr std::uint64_t Groups = 60;
    constexpr milliseconds FaultTime { 9000 };
    // An outage that ends with the faults, the grace time, and the pause of an instance between two calls.
    constexpr milliseconds SettleTime = milliseconds(1500) + DeletionGrace + AnswerInterval;
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    std::vector<std::unique_ptr<MirrorFaults>> groups;
    for (std::uint64_t seed = 1; seed <= Groups; ++seed)
        groups.push_back(std::make_unique<MirrorFaults>(context, seed));
    const auto start = Clock::now();
    Clock::duration stalled {};
    for (auto next = start; next < start + FaultTime + SettleTime + stalled; next += MirrorFaults::Interval) {
        context.run_until(next);
        stalled += std::max(Clock::duration(), Clock::now() - next - milliseconds(5));
        next = std::max(next, Clock::now());
        for (const auto& each : groups)
            each->step(next - stalled, next - stalled < start + FaultTime);
    }
    for (const auto& each : groups)
        CHECK_TEXT("", each->differences());
}
