#include "oriolelever/presence.h"

#include <gtest/gtest.h>

#include "event-loop.h"
#include "fakes.h"
#include "oriolelever/object-follower.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

class PresenceTest : public testing::Test
{
public:
    PresenceTest()
    {
        EXPECT_TRUE(parseIpAddress("10.1.0.8", options.host));
    }

    std::unique_ptr<Presence> makePresence()
    {
        return std::make_unique<Presence>(context, api, options,
                                          Presence::Events{.listed = [this](const auto &) { ++lists; },
                                                           .entry =
                                                               [this](bool written, const std::string &) {
                                                                   ++(written ? writtenEvents : failures);
                                                               }});
    }

    asio::io_context context;
    FakeObjectApi api{context};
    PresenceOptions options{.kind = "agents",
                            .name = "side-1",
                            .listedKind = "balancers",
                            .refreshPeriod = milliseconds(20),
                            .firstRetryDelay = milliseconds(10),
                            .maxRetryDelay = milliseconds(20)};
    int lists = 0;
    int writtenEvents = 0;
    int failures = 0;
};

TEST_F(PresenceTest, ListsGoOnAfterARenewalThatFailed)
{
    const auto presence = makePresence();
    presence->start();
    runUntil(context, [&] { return lists > 0; });
    api.remove({.kind = "agents", .name = "side-1"}, [](const auto &) {});
    runUntil(context, [&, until = std::chrono::steady_clock::now() + milliseconds(30)] {
        return std::chrono::steady_clock::now() > until;
    });
    api.down = true;
    presence->renew();
    runUntil(context, [&] { return failures > 0; });
    api.down = false;
    const auto written = writtenEvents;
    runUntil(context, [&] { return writtenEvents > written; });
    const auto before = lists;
    runUntil(context, [&] { return lists > before + 1; });
}

TEST(PresenceOptionsTest, AnEntryIsRestoredInTimeAfterASilenceOfTheStore)
{
    constexpr milliseconds restoreTime{2000}; // From the store's return.
    EXPECT_LT(maxCallTimeout + PresenceOptions{}.maxRetryDelay, restoreTime);
}

TEST_F(PresenceTest, ARetryIsMadeAtOnceWhenTheStoreHasAnsweredAnotherCall)
{
    options.firstRetryDelay = std::chrono::minutes(10);
    options.maxRetryDelay = std::chrono::minutes(10);
    api.down = true;
    const auto presence = makePresence();
    presence->retryNow();
    presence->start();
    runUntil(context, [&] { return failures > 0; });
    api.down = false;
    presence->retryNow();
    runUntil(context, [&] { return lists > 0; });
}

TEST_F(PresenceTest, AFollowerRetriesAtOnceWhenTheStoreHasAnsweredAnotherCall)
{
    api.down = true;
    int lost = 0;
    int changes = 0;
    ObjectFollower follower(context, api,
                            {.kind = "config",
                             .firstRetryDelay = std::chrono::minutes(10),
                             .maxRetryDelay = std::chrono::minutes(10),
                             .maxFirstListDelay = std::chrono::minutes(10)},
                            {.changed = [&](const auto &) { ++changes; },
                             .availability =
                                 [&](bool available, const std::string &) {
                                     lost += available ? 0 : 1;
                                 }});
    follower.start();
    runUntil(context, [&] { return lost > 0; });
    api.down = false;
    follower.retryNow();
    runUntil(context, [&] { return changes > 0; });
    follower.retryNow();
    EXPECT_EQ(changes, 1) << "nothing was waiting for a retry";
}

// A watch whose answers get lost without an error.
class DeafObjectApi : public FakeObjectApi
{
public:
    using FakeObjectApi::FakeObjectApi;

    void watch(std::vector<std::string>, StorePosition, std::chrono::milliseconds, Done<WatchBatch>) override
    {
        ++watches;
    }

    void list(std::string kind, Done<ObjectList> done) override
    {
        ++lists;
        FakeObjectApi::list(std::move(kind), std::move(done));
    }

    int lists = 0;
};

TEST(ObjectFollowerTest, AChangeThatAnotherProcessHasSeenIsListedWhenTheWatchIsDeaf)
{
    asio::io_context context;
    DeafObjectApi api(context);
    api.put("config", "main", R"({"Version":1})");
    std::uint64_t seen = 0;
    ObjectFollower follower(context, api, {.kind = "config"},
                            {.changed = [&](const auto &objects) { seen = objects.at("main").version; },
                             .availability =
                                 [](bool, const std::string &) {
                                 }});
    follower.start();
    runUntil(context, [&] { return seen == 1; });
    EXPECT_EQ(follower.lastChange(), StorePosition{}) << "a first list is no change";
    follower.catchUp({.revision = api.revision});
    EXPECT_EQ(api.lists, 1) << "nothing has changed since the list";
    api.put("config", "main", R"({"Version":2})");
    follower.catchUp({.revision = api.revision});
    follower.catchUp({.revision = api.revision});
    runUntil(context, [&] { return seen == 2; });
    EXPECT_EQ(api.lists, 2);
    EXPECT_EQ(follower.lastChange(), (StorePosition{.revision = api.revision}));
    EXPECT_EQ(api.watches, 1U) << "the watch goes on";
}

TEST(ObjectFollowerTest, AFailedCatchUpIsNotRepeatedAtOnce)
{
    asio::io_context context;
    DeafObjectApi api(context);
    int changes = 0;
    ObjectFollower follower(context, api, {.kind = "config"},
                            {.changed = [&](const auto &) { ++changes; },
                             .availability =
                                 [](bool, const std::string &) {
                                 }});
    follower.start();
    runUntil(context, [&] { return changes == 1; });
    api.down = true;
    follower.catchUp({.revision = api.revision + 1});
    context.poll();
    follower.catchUp({.revision = api.revision + 1});
    EXPECT_EQ(api.lists, 2);
}

TEST(ObjectFollowerTest, AWatchSentIntoTheSilenceOfTheStoreDoesNotDelayTheNextConfiguration)
{
    constexpr milliseconds applyTime{3000}; // After its acknowledgement, a configuration must be in force.
    asio::io_context context;
    RecordingObjectApi api(context);
    const FollowerOptions options{.kind = "config"};
    ObjectFollower follower(context, api, options,
                            {.changed = [](const auto &) {},
                             .availability =
                                 [](bool, const std::string &) {
                                 }});
    follower.start();
    runUntil(context, [&] { return api.waits.size() == 1; });
    api.endWatches();
    runUntil(context, [&] { return api.waits.size() == 2; });
    EXPECT_LT(api.waits.back() + maxCallTimeout + options.maxRetryDelay, applyTime);
}

// Guards against watches of processes that start together, or get the same change, which all end after three
// quarters of their time at the earliest: none notices in time that the store has lost them.
TEST(ObjectFollowerTest, WatchesThatBeginTogetherEndAtDifferentTimes)
{
    constexpr milliseconds timeout{8000};
    EXPECT_EQ(watchWaitAfter(PreviousWatch::Other, timeout, 0.0), milliseconds(0));
    EXPECT_EQ(watchWaitAfter(PreviousWatch::Other, timeout, 0.5), milliseconds(4000));
    EXPECT_EQ(watchWaitAfter(PreviousWatch::Unchanged, timeout, 0.0), milliseconds(6000));
    EXPECT_EQ(watchWaitAfter(PreviousWatch::Unchanged, timeout, 0.5), milliseconds(7000));
}

TEST(ObjectFollowerTest, TheMoreWatchersTheLongerTheyWait)
{
    const milliseconds unstated(0);
    EXPECT_EQ(sharedWatchTimeout(0, unstated), minSharedWatchTimeout);
    EXPECT_EQ(sharedWatchTimeout(4, unstated), minSharedWatchTimeout);
    EXPECT_EQ(sharedWatchTimeout(24, unstated), milliseconds(8400));
    EXPECT_EQ(sharedWatchTimeout(24, milliseconds(3000)), milliseconds(9000));
    EXPECT_EQ(sharedWatchTimeout(24, milliseconds(5000)), milliseconds(15'000));
    EXPECT_EQ(sharedWatchTimeout(11'000, milliseconds(13'000)), maxSharedWatchTimeout);
}

} // namespace
} // namespace oriolelever
