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

} // namespace
} // namespace oriolelever
