// Plays a store that comes back from an older copy of itself, at the interface of the store.
#include <utility>

#include <gtest/gtest.h>

#include "documents.h"
#include "oriolelever/flow-snapshots.h"
#include "oriolelever/object-follower.h"
#include "oriolelever/peer-message.h"
#include "oriolelever/presence.h"
#include "store-client.h"
#include "store-fixture.h"

namespace oriolelever::platform::standin {
namespace {

using std::chrono::milliseconds;

const std::string configurationKindText(configurationKind);
const std::string evacuationKindText(evacuationKind);

// A process that follows the operators' documents, with its own connections to the store.
class Process
{
public:
    Process(asio::io_context &context, const Endpoint &store)
        : client(context, store, {},
                 {.changed = [this](const EraChange &change) { eras.push_back(change.after); },
                  .ignored =
                      [this](auto, const auto &, auto) {
                          ++ignoredAnswers;
                      }})
        , configuration(context, client, {.kind = configurationKindText},
                        {.changed =
                             [this](const auto &objects) {
                                 documents = objects;
                                 ++changes;
                             },
                         .eraListed = [this](const EraListing &listing) { listings.push_back(listing); },
                         .availability =
                             [](bool, const std::string &) {
                             }})
        , evacuations(context, client, {.kind = evacuationKindText},
                      {.changed = [this](const auto &objects) { zones = objects; },
                       .availability =
                           [](bool, const std::string &) {
                           }})
    {
        configuration.start();
        evacuations.start();
    }

    // Version of the configuration that this process knows; 0 if it knows none.
    std::uint64_t version() const
    {
        const auto found = documents.find(std::string(configurationName));
        return found == documents.end() ? 0 : found->second.value["Version"].get<std::uint64_t>();
    }

    // Makes a short call, which shows the era.
    void callStore()
    {
        client.read("any", "any", [this](const auto &) { ++answers; });
    }

    std::vector<std::uint64_t> eras;
    std::vector<EraListing> listings;
    int ignoredAnswers = 0;
    int answers = 0;
    int changes = 0; // Of the configuration.
    ObjectFollower::Objects documents;
    ObjectFollower::Objects zones;
    StoreClient client;
    ObjectFollower configuration;
    ObjectFollower evacuations;
};

class StoreEraTest : public StoreFixture
{
public:
    void configure(std::uint64_t version)
    {
        store->configure({.version = version});
    }

    // Other objects are written until the store has given out `count` revisions more.
    void useRevisions(int count)
    {
        for (int i = 0; i < count; ++i) {
            store->put("other", "object", {{"count", ++otherWrites}});
        }
    }

    std::unique_ptr<Process> makeProcess()
    {
        auto process = std::make_unique<Process>(context, endpoint);
        runUntil(context, [&] { return process->version() > 0; });
        runUntil(context, [&] { return process->evacuations.position() != StorePosition{}; });
        return process;
    }

    int otherWrites = 0;
};

TEST_F(StoreEraTest, AConfigurationWrittenAgainIsSeenWhenRevisionsHavePassedTheOldOne)
{
    configure(18);
    store->keepCopy();
    configure(21);
    const auto process = makeProcess();
    const auto before = process->configuration.position();
    store->stepBack();
    // The same revision as of version 21 before, so that a watch from there would not report it.
    configure(24);
    useRevisions(5);
    process->callStore();
    runUntil(context, [&] { return process->version() == 24; });
    EXPECT_EQ(process->eras, std::vector<std::uint64_t>{2});
    ASSERT_EQ(process->listings.size(), 1U);
    EXPECT_EQ(process->listings[0].before, before);
    EXPECT_EQ(process->listings[0].after.era, 2U);
    EXPECT_GT(process->configuration.position(), before);
}

TEST_F(StoreEraTest, WhatTheStoreHasLostIsReplacedWhole)
{
    configure(18);
    store->keepCopy();
    store->evacuate("a");
    const auto process = makeProcess();
    ASSERT_EQ(process->zones.size(), 1U);
    store->stepBack();
    store->evacuate("b");
    useRevisions(3);
    process->callStore();
    runUntil(context, [&] { return process->zones.contains("b"); });
    EXPECT_EQ(process->zones.size(), 1U);
}

TEST_F(StoreEraTest, AnErrorTellsTheEraToo)
{
    configure(18);
    store->keepCopy();
    configure(21);
    const auto process = makeProcess();
    store->stepBack();
    configure(24);
    store->setFaults({.unavailable = true});
    process->callStore();
    runUntil(context, [&] { return process->answers == 1; });
    EXPECT_EQ(process->eras, std::vector<std::uint64_t>{2});
    EXPECT_EQ(process->version(), 21U) << "what is known is kept until the store answers";
    store->setFaults({});
    runUntil(context, [&] { return process->version() == 24; });
}

TEST_F(StoreEraTest, AConditionOfTheOlderEraFailsAlthoughItsRevisionMatches)
{
    configure(18);
    store->keepCopy();
    store->put("entries", "a", {{"host", "10.0.0.1"}});
    const auto process = makeProcess();
    auto &client = process->client;
    const auto known
        = wait<Object>([&](Done<Object> done) { client.read("entries", "a", std::move(done)); }).value();
    store->stepBack();
    store->put("entries", "a", {{"host", "10.0.0.2"}});
    process->callStore();
    runUntil(context, [&] { return !process->eras.empty(); });
    EXPECT_EQ(wait<Object>([&](Done<Object> done) { client.write(known, {}, std::move(done)); }).error().code,
              Code::PlatformConflict);
    EXPECT_EQ(wait<std::uint64_t>([&](Done<std::uint64_t> done) { client.remove(known, std::move(done)); })
                  .error()
                  .code,
              Code::PlatformConflict);
    const auto stored
        = wait<Object>([&](Done<Object> done) { client.read("entries", "a", std::move(done)); });
    EXPECT_EQ(stored.value().version, known.version) << "the revisions are the same";
    EXPECT_EQ(stored.value().value["host"], "10.0.0.2");
}

TEST_F(StoreEraTest, AWriteSentInTheOlderEraIsNoSuccessIfTheNewOneExecutesIt)
{
    configure(18);
    store->keepCopy();
    store->put("entries", "a", {{"host", "10.0.0.1"}});
    const auto process = makeProcess();
    const auto known = wait<Object>([&](Done<Object> done) {
                           process->client.read("entries", "a", std::move(done));
                       }).value();
    store->stepBack();
    store->put("entries", "a", {{"host", "10.0.0.2"}});
    EXPECT_EQ(wait<Object>([&](Done<Object> done) { process->client.write(known, {}, std::move(done)); })
                  .error()
                  .code,
              Code::PlatformConflict);
}

// Half of the processes learn of the new era, the others hear of it from them by way of an agent.
TEST_F(StoreEraTest, AProcessThatHearsOfTheNewEraFromAPeerListsAtOnce)
{
    configure(18);
    store->keepCopy();
    configure(21);
    const auto informed = makeProcess();
    const auto uninformed = makeProcess();
    const auto oldPosition = uninformed->configuration.position();
    store->stepBack();
    configure(24);
    useRevisions(5);
    informed->callStore();
    runUntil(context, [&] { return informed->version() == 24; });
    EXPECT_EQ(uninformed->version(), 21U);
    const auto revisionOf = [](const Process &process) {
        return process.configuration.lastChange().revision;
    };
    DocumentRevisions agent{.era = eraTagOf(oldPosition.era), .configuration = revisionOf(*uninformed)};
    mergeRevisions(
        agent,
        {.era = eraTagOf(informed->configuration.position().era), .configuration = revisionOf(*informed)});
    mergeRevisions(agent, {.era = eraTagOf(oldPosition.era), .configuration = 900});
    uninformed->configuration.catchUp(
        peerPosition(agent.era, agent.configuration, uninformed->configuration.position()));
    runUntil(context, [&] { return uninformed->version() == 24; });
    // The word of a process that is still in the older era changes nothing.
    const auto changes = informed->changes;
    informed->configuration.catchUp(
        peerPosition(eraTagOf(oldPosition.era), 900, informed->configuration.position()));
    EXPECT_EQ(informed->version(), 24U);
    informed->callStore();
    runUntil(context, [&] { return informed->answers == 2; });
    EXPECT_EQ(informed->changes, changes);
}

TEST_F(StoreEraTest, AProcessThatIsCutOffKeepsWhatItKnows)
{
    configure(18);
    store->keepCopy();
    configure(21);
    const auto process = makeProcess();
    store->stepBack();
    store->setFaults({.unavailable = true});
    process->configuration.catchUp({.era = 2, .revision = 0});
    process->callStore();
    runUntil(context, [&] { return process->answers == 1; });
    EXPECT_EQ(process->version(), 21U);
}

TEST_F(StoreEraTest, AnEntryThatTheStoreHasLostIsWrittenAgain)
{
    store->keepCopy();
    PresenceOptions options{.kind = "agents", .name = "side-1", .listedKind = "balancers"};
    options.eraSpread = milliseconds(10);
    ASSERT_TRUE(parseIpAddress("10.1.0.8", options.host));
    StoreClient client(context, endpoint);
    int written = 0;
    int lists = 0;
    Presence presence(context, client, options,
                      {.listed = [&](const auto &) { ++lists; },
                       .entry =
                           [&](bool isWritten, const std::string &) {
                               written += isWritten ? 1 : 0;
                           }});
    presence.start();
    runUntil(context, [&] { return lists == 1; });
    store->stepBack();
    useRevisions(3);
    presence.handleNewEra();
    runUntil(context, [&] { return lists == 2; });
    EXPECT_EQ(written, 2);
    const auto stored
        = wait<Object>([&](Done<Object> done) { client.read("agents", "side-1", std::move(done)); });
    EXPECT_TRUE(stored);
}

TEST_F(StoreEraTest, AnEntryOfTheOlderEraCanStillBeRemoved)
{
    PresenceOptions options{.kind = "agents", .name = "side-1", .listedKind = "balancers"};
    ASSERT_TRUE(parseIpAddress("10.1.0.8", options.host));
    StoreClient client(context, endpoint);
    int lists = 0;
    Presence presence(context, client, options,
                      {.listed = [&](const auto &) { ++lists; },
                       .entry =
                           [](bool, const std::string &) {
                           }});
    presence.start();
    runUntil(context, [&] { return lists == 1; });
    store->keepCopy();
    store->stepBack();
    const auto missing = [&] {
        return wait<Object>([&](Done<Object> done) { client.read("agents", "side-1", std::move(done)); });
    };
    EXPECT_TRUE(missing());
    bool isRemoved = false;
    presence.remove([&] { isRemoved = true; });
    runUntil(context, [&] { return isRemoved; });
    EXPECT_EQ(missing().error().code, Code::NotFound);
}

TEST_F(StoreEraTest, ASnapshotThatTheStoreHasLostIsWrittenAgain)
{
    store->keepCopy();
    StoreClient client(context, endpoint);
    bool isChanged = true;
    FlowSnapshots snapshots(
        context, client,
        {.kind = "flows", .zone = "a", .period = milliseconds(5), .retryDelay = milliseconds(5)},
        {.restored = [](const std::string &) {},
         .changed =
             [&] {
                 return std::exchange(isChanged, false) ? std::optional<std::string>("flows of a")
                                                        : std::nullopt;
             },
         .failed =
             [](const std::string &) {
             }});
    const auto read = [&] {
        return wait<Object>([&](Done<Object> done) { client.read("flows", "a", std::move(done)); });
    };
    snapshots.start();
    while (!read()) { }
    store->stepBack();
    EXPECT_FALSE(read());
    isChanged = true;
    snapshots.handleNewEra();
    while (!read()) { }
}

} // namespace
} // namespace oriolelever::platform::standin
