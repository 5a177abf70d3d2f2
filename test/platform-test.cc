#include "oriolelever/platform.h"

#include <random>

#include <gtest/gtest.h>

#include "fake-platform.h"
#include "oriolelever/http-service.h"
#include "platform-standin.h"

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

Object zone(const std::string &state, std::uint64_t version = 0)
{
    return {.kind = "zone", .name = "bergamo", .version = version, .value = {{"state", state}}};
}

// A client of a stand-in platform. Calls run the event loop until they are answered.
class PlatformClientTest : public testing::Test
{
protected:
    PlatformClientTest()
        : m_client({.url = "http://127.0.0.1:" + std::to_string(m_standin.port()),
                    .timeout = 300ms,
                    .callsPerSecond = 1000})
    {
        m_client.startOn(m_control);
    }

    template<typename T, typename Start>
    Answer<T> wait(Start start)
    {
        std::optional<Answer<T>> result;
        start([&](const Answer<T> &answer) { result = answer; });
        while (!result) {
            m_control.run_one();
        }
        return *result;
    }

    Answer<Object> read()
    {
        return wait<Object>([&](auto done) { m_client.read("zone", "bergamo", done); });
    }

    Answer<Object> write(const Object &object)
    {
        return wait<Object>([&](auto done) { m_client.write(object, newChangeId(), done); });
    }

    Answer<Object> writeAndResolve(const Object &object)
    {
        return wait<Object>([&](auto done) { writeResolved(m_client, object, 3, done); });
    }

    Answer<WatchBatch> watch(std::uint64_t after, std::chrono::milliseconds limit)
    {
        return wait<WatchBatch>(
            [&](auto done) { m_client.watch({"zone"}, {.revision = after}, limit, done); });
    }

    lab::PlatformStandin m_standin{{}};
    asio::io_context m_control;
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_control);
    PlatformClient m_client;
};

} // namespace

TEST_F(PlatformClientTest, WritesAreConditional)
{
    const auto created = write(zone("in"));
    ASSERT_TRUE(created);
    EXPECT_EQ(write(zone("out")).error().code, Code::PlatformConflict);
    const auto updated = write(zone("out", created.value().version));
    ASSERT_TRUE(updated);
    EXPECT_GT(updated.value().version, created.value().version);
    EXPECT_EQ(write(zone("in", created.value().version)).error().code, Code::PlatformConflict);
    EXPECT_EQ(read().value().value, (nlohmann::json{{"state", "out"}}));
}

TEST_F(PlatformClientTest, AbsentObjectIsNamed)
{
    const auto answer = read();
    EXPECT_EQ(answer.error().code, Code::NotFound);
    EXPECT_EQ(answer.error().text, "zone \"bergamo\" does not exist");
}

TEST_F(PlatformClientTest, LostWriteAnswerIsReportedAsUnknown)
{
    m_standin.setFaults({{"lose_answers", 1}});
    EXPECT_EQ(write(zone("in")).error().code, Code::PlatformOutcomeUnknown);
    EXPECT_EQ(m_client.counters().outcomesUnknown, 1U);
}

TEST_F(PlatformClientTest, LostAnswerIsResolvedByReadingBack)
{
    m_standin.setFaults({{"lose_answers", 1}});
    const auto answer = writeAndResolve(zone("in"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(m_standin.counters()["writes"], 1);
}

TEST_F(PlatformClientTest, RemovedObjectIsGone)
{
    const auto created = write(zone("in"));
    const auto removed
        = wait<std::uint64_t>([&](auto done) { m_client.remove(zone("in", created.value().version), done); });
    ASSERT_TRUE(removed);
    EXPECT_EQ(read().error().code, Code::NotFound);
    const auto batch = watch(created.value().version, 0ms);
    ASSERT_EQ(batch.value().events.size(), 1U);
    EXPECT_TRUE(batch.value().events[0].deleted);
}

// Guards against a list or watch that fails for good because of one entry of another writer.
TEST_F(PlatformClientTest, AnUnreadableValueLeavesTheOtherObjects)
{
    const std::string nested = std::string(500'000, '[') + std::string(500'000, ']');
    const std::string objects = R"([{"kind":"zone","name":"a","version":1,"value":{"state":"in"}},)"
                                R"({"kind":"zone","name":"b","version":2,"value":{"state":"\ud83d"}},)"
                                R"({"kind":"zone","name":"c","version":3,"value":1e400,"deleted":true},)"
                                R"({"kind":"zone","name":"d","version":4,"value":)"
        + nested + "}]";
    Endpoint loopback;
    ASSERT_TRUE(parseEndpoint("127.0.0.1:0", loopback));
    HttpService service(m_control, loopback, [&](const HttpRequest &request) {
        const std::string member = request.path.find("watch") == std::string::npos ? "objects" : "events";
        return HttpReply{.body = R"({"revision":9,")" + member + "\":" + objects + "}"};
    });
    while (service.port() == 0) {
        m_control.run_one();
    }
    PlatformClient client({.url = "http://127.0.0.1:" + std::to_string(service.port()), .timeout = 300ms});
    client.startOn(m_control);
    const auto list = wait<ObjectList>([&](auto done) { client.list("zone", done); });
    ASSERT_TRUE(list);
    ASSERT_EQ(list.value().objects.size(), 4U);
    EXPECT_TRUE(list.value().objects[3].value.is_null());
    EXPECT_EQ(list.value().objects[0].value["state"], "in");
    EXPECT_TRUE(list.value().objects[1].value.is_null());
    const auto batch
        = wait<WatchBatch>([&](auto done) { client.watch({"zone"}, {.revision = 1}, 100ms, done); });
    ASSERT_TRUE(batch);
    ASSERT_EQ(batch.value().events.size(), 4U);
    EXPECT_TRUE(batch.value().events[2].deleted);
}

TEST_F(PlatformClientTest, WatchReportsChangesAndGaps)
{
    const auto created = write(zone("in"));
    const auto batch = watch(0, 1s);
    ASSERT_EQ(batch.value().events.size(), 1U);
    EXPECT_EQ(batch.value().events[0].object.version, created.value().version);
    EXPECT_TRUE(watch(batch.value().position.revision, 10ms).value().events.empty());
    m_standin.setFaults({{"end_watches", true}});
    EXPECT_TRUE(watch(0, 10ms).value().restart);
}

TEST_F(PlatformClientTest, WatchOfSeveralKindsReportsChanges)
{
    write(zone("in"));
    const auto batch = wait<WatchBatch>([&](auto done) {
        m_client.watch({"service", "zone"}, {}, 1s, done);
    });
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch.value().events.size(), 1U);
}

TEST_F(PlatformClientTest, OutageWritesNothing)
{
    m_standin.setFaults({{"down", true}});
    EXPECT_EQ(write(zone("in")).error().code, Code::PlatformUnreachable);
    m_standin.setFaults({{"down", false}});
    EXPECT_EQ(read().error().code, Code::NotFound);
}

TEST_F(PlatformClientTest, ThrottlingIsReported)
{
    m_standin.setFaults({{"writes_per_second", 1}});
    EXPECT_TRUE(write(zone("in")));
    EXPECT_EQ(write(zone("out")).error().code, Code::PlatformThrottled);
}

TEST_F(PlatformClientTest, OlderAnswerKeepsItsVersion)
{
    const auto first = write(zone("in"));
    const auto second = write(zone("out", first.value().version));
    m_standin.setFaults({{"stale_reads", 1}});
    EXPECT_EQ(read().value().version, first.value().version);
    EXPECT_EQ(read().value().version, second.value().version);
}

TEST(PlatformPolicyTest, UnreachableAddressIsNotSent)
{
    asio::io_context control;
    PlatformClient client({.url = "http://127.0.0.1:1", .timeout = 300ms});
    client.startOn(control);
    std::optional<Error> error;
    client.write(zone("in"), newChangeId(), [&](const Answer<Object> &answer) { error = answer.error(); });
    auto work = asio::make_work_guard(control);
    while (!error) {
        control.run_one();
    }
    EXPECT_EQ(error->code, Code::PlatformUnreachable);
}

TEST(PlatformPolicyTest, DroppedWriteIsSentAgain)
{
    lab::FakePlatform platform;
    platform.faults.dropWrites = 1;
    std::optional<Answer<Object>> result;
    writeResolved(platform, zone("in"), 2, [&](const Answer<Object> &answer) { result = answer; });
    platform.deliver();
    ASSERT_TRUE(result && *result);
    EXPECT_EQ(platform.store.read("zone", "bergamo").value().version, 1U);
}

TEST(PlatformPolicyTest, LostWriteIsFoundBelowLaterWrites)
{
    const Object intended = zone("out", 1);
    Object stored = zone("in", 3);
    stored.changes = {"ours", "theirs"};
    EXPECT_EQ(resolveUnknown(intended, "ours", stored), Resolution::TookEffect);
    stored.changes = {"theirs"};
    EXPECT_EQ(resolveUnknown(intended, "ours", stored), Resolution::Superseded);
    stored.version = 1;
    EXPECT_EQ(resolveUnknown(intended, "ours", stored), Resolution::WriteAgain);
    stored.version = 0;
    EXPECT_EQ(resolveUnknown(intended, "ours", stored), Resolution::StillUnknown);
    EXPECT_EQ(resolveUnknown(intended, "ours", Error{Code::PlatformUnreachable, ""}),
              Resolution::StillUnknown);
}

TEST(PlatformPolicyTest, UnresolvedWriteStaysUnknown)
{
    lab::FakePlatform platform;
    platform.faults.dropWrites = 1;
    std::optional<Answer<Object>> result;
    writeResolved(platform, zone("in"), 2, [&](const Answer<Object> &answer) { result = answer; });
    platform.faults.down = true;
    platform.deliver();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->error().code, Code::PlatformOutcomeUnknown);
}

TEST(PlatformPolicyTest, BudgetBoundsCalls)
{
    CallBudget budget{.callsPerSecond = 10, .burst = 5, .tokens = 5};
    int started = 0;
    for (TimePoint now{}; now < TimePoint(10s); now += 1ms) {
        started += acquireCall(budget, now) == Duration::zero() ? 1 : 0;
    }
    EXPECT_GE(started, 5 + 99);
    EXPECT_LE(started, 5 + 100);
}

TEST(PlatformPolicyTest, BudgetReturnsTimeUntilNextCall)
{
    CallBudget budget{.callsPerSecond = 10, .burst = 1, .tokens = 0};
    const auto wait = acquireCall(budget, TimePoint{});
    EXPECT_EQ(wait, 100ms);
    EXPECT_EQ(acquireCall(budget, TimePoint{} + wait), Duration::zero());
}

// An outage starts at the same moment for 1,000 clients. Without full jitter in the backoff, they would all
// call again at the same moment after its end.
TEST(PlatformPolicyTest, BackoffSpreadsCallsAfterAnOutage)
{
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> unit(0, 1);
    std::map<long, int> callsPerSecond;
    const TimePoint end(600s);
    for (int client = 0; client < 1000; ++client) {
        Backoff backoff;
        for (TimePoint now{}; now < end + 60s; now = backoff.notBefore) {
            if (now >= end) {
                ++callsPerSecond[std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count()];
                break;
            }
            recordFailure(backoff, now, unit(random));
        }
    }
    int answered = 0;
    for (const auto &[second, calls] : callsPerSecond) {
        EXPECT_LE(calls, 120) << "second " << second;
        answered += calls;
    }
    EXPECT_EQ(answered, 1000);
}

TEST(PlatformPolicyTest, TimeoutsFollowThePlatform)
{
    using std::chrono::milliseconds;
    EXPECT_EQ(timeoutAfterAnswer(milliseconds(4)), minCallTimeout);
    EXPECT_GT(timeoutAfterAnswer(milliseconds(240)), milliseconds(240))
        << "the timeout must exceed the duration of a slow answer";
    auto timeout = minCallTimeout;
    milliseconds waited{0};
    while (timeout < milliseconds(1000)) {
        waited += timeout;
        timeout = timeoutAfterNoAnswer(timeout);
    }
    EXPECT_LT(waited, milliseconds(1000)) << "the second call must receive an answer that takes one second";
    for (int i = 0; i < 10; ++i) {
        timeout = timeoutAfterNoAnswer(timeout);
    }
    EXPECT_EQ(timeout, maxCallTimeout);
}

TEST(PlatformPolicyTest, StatusesAreInterpreted)
{
    const auto code = [](int status, CallKind kind) {
        return interpretAnswer({.status = status}, kind, "zone \"x\"").code;
    };
    EXPECT_EQ(code(200, CallKind::Write), Code::Ok);
    EXPECT_EQ(code(412, CallKind::Write), Code::PlatformConflict);
    EXPECT_EQ(code(429, CallKind::Write), Code::PlatformThrottled);
    EXPECT_EQ(code(503, CallKind::Write), Code::PlatformUnreachable);
    EXPECT_EQ(code(502, CallKind::Write), Code::PlatformOutcomeUnknown);
    EXPECT_EQ(code(502, CallKind::Read), Code::PlatformUnreachable);
    EXPECT_EQ(code(413, CallKind::Write), Code::PlatformRefused);
    EXPECT_EQ(code(403, CallKind::Read), Code::NotPermitted);
}
