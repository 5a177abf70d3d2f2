#include "oriolelever/kernel.h"

#include <asio/post.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace oriolelever;
using testing::ElementsAre;

namespace {

using Events = std::vector<std::string>;

// Appends its name to the list of events at each call.
class RecordingService : public Service
{
public:
    RecordingService(std::string name, Events &events, bool startSucceeds = true)
        : m_name(std::move(name))
        , m_events(events)
        , m_startSucceeds(startSucceeds)
    {
    }

    Result<void> start(Kernel &kernel) override
    {
        m_events.push_back("start " + m_name);
        m_kernel = &kernel;
        if (!m_startSucceeds) {
            return fail(Code::AddressInUse, "address is in use");
        }
        return {};
    }

    void beginDrain() override
    {
        m_events.push_back("begin " + m_name);
    }

    void drain(std::function<void()> done) override
    {
        m_events.push_back("drain " + m_name);
        asio::post(m_kernel->control(), std::move(done));
    }

    void stop() override
    {
        m_events.push_back("stop " + m_name);
    }

private:
    std::string m_name;
    Events &m_events;
    bool m_startSucceeds;
    Kernel *m_kernel = nullptr;
};

// Shuts the kernel down at once, but never completes its own drain.
class NeverDrainingService : public Service
{
public:
    Result<void> start(Kernel &kernel) override
    {
        asio::post(kernel.control(), [&kernel] { kernel.shutDown(); });
        return {};
    }

    void drain(std::function<void()>) override
    {
    }

    void stop() override
    {
    }
};

} // namespace

TEST(KernelTest, DrainsAndStopsInReverseOrder)
{
    Events events;
    Kernel kernel;
    kernel.add("first", std::make_unique<RecordingService>("first", events));
    kernel.add("second", std::make_unique<RecordingService>("second", events));
    asio::post(kernel.control(), [&] { kernel.shutDown(); });
    EXPECT_EQ(kernel.run(std::chrono::hours(1)), 0);
    EXPECT_THAT(events,
                ElementsAre("start first", "start second", "begin second", "begin first", "drain second",
                            "drain first", "stop second", "stop first"));
}

TEST(KernelTest, FailedStartStopsWhatHasStarted)
{
    Events events;
    Kernel kernel;
    kernel.add("first", std::make_unique<RecordingService>("first", events));
    kernel.add("second", std::make_unique<RecordingService>("second", events, false));
    kernel.add("third", std::make_unique<RecordingService>("third", events));
    EXPECT_EQ(kernel.run(std::chrono::hours(1)), 2);
    EXPECT_THAT(events, ElementsAre("start first", "start second", "stop first"));
}

TEST(KernelTest, DrainLimitEndsAServiceThatNeverFinishes)
{
    Kernel kernel;
    kernel.add("stuck", std::make_unique<NeverDrainingService>());
    EXPECT_EQ(kernel.run(std::chrono::milliseconds(0)), 0);
}

TEST(KernelTest, ServicesFindEachOtherByName)
{
    Events events;
    Kernel kernel;
    kernel.add("first", std::make_unique<RecordingService>("first", events));
    EXPECT_NO_THROW(kernel.find<RecordingService>("first"));
    EXPECT_EQ(kernel.tryFind<RecordingService>("second"), nullptr);
    EXPECT_THROW(kernel.find<RecordingService>("second"), std::logic_error);
    EXPECT_THROW(kernel.add("first", nullptr), std::logic_error);
}
