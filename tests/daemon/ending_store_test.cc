#include "process/controller/ending_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "process/replication/data_folder.h"

namespace marjoramsill {

using std::chrono::seconds;

class ending_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ending_store_test);
  CPPUNIT_TEST(store_reopened_returns_what_was_durable);
  CPPUNIT_TEST(store_on_full_disk_answers_and_keeps_the_process);
  CPPUNIT_TEST(store_with_room_again_stores_all_current_endings);
  CPPUNIT_TEST(store_after_many_endings_keeps_only_current_ones);
  CPPUNIT_TEST_SUITE_END();

  std::string path_;
  asio::io_context io_;
  std::vector<endpoint_record> current_;
  std::unique_ptr<data_folder> folder_;
  std::unique_ptr<ending_store> store_;

  static endpoint_record Ended(int number) {
    endpoint_record record;
    record.id = endpoint_id("i-" + std::to_string(number));
    record.pool = model_id("chat");
    record.address = "10.0.0.1:8080";
    record.phase = endpoint_phase::kEnded;
    record.incarnation = incarnation_number(100);
    record.sequence = 7;
    return record;
  }

  void Open() {
    store_.reset();
    folder_.reset();
    auto folder =
        data_folder::Open(path_, [] { return std::uint64_t{0x1234}; });
    CPPUNIT_ASSERT(folder.has_value());
    folder_ = std::move(folder).assume_value();
    auto opened = ending_store::Open(
        *folder_, {.post = [this](auto task) { asio::post(io_, task); },
                   .current = [this] { return current_; }});
    CPPUNIT_ASSERT(opened.has_value());
    store_ = std::move(opened).assume_value();
  }

  std::string Segment() const {
    return path_ + "/group-endings/segment-00000000000000000001";
  }

  /// Writes to the first segment fail as on a full disk.
  void FillDisk() { std::filesystem::create_symlink("/dev/full", Segment()); }

  void AwaitDurable() {
    bool is_durable = false;
    store_->WhenDurable([&is_durable] { is_durable = true; });
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (!is_durable && std::chrono::steady_clock::now() < end) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(1));
    }
    CPPUNIT_ASSERT(is_durable);
  }

 public:
  void setUp() override {
    path_ = (std::filesystem::temp_directory_path() /
             ("ending-store-" + std::to_string(::getpid())))
                .string();
    std::filesystem::remove_all(path_);
  }

  void tearDown() override {
    store_.reset();
    folder_.reset();
    std::filesystem::remove_all(path_);
  }

  // Guards against an acknowledged end that a restart forgets.
  void store_reopened_returns_what_was_durable() {
    Open();
    CPPUNIT_ASSERT(store_->stored().empty());
    AwaitDurable();
    store_->Record(Ended(1));
    store_->Record(Ended(2));
    AwaitDurable();
    Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_->stored().size());
    CPPUNIT_ASSERT(store_->stored()[1] == Ended(2));
    store_->Record(Ended(3));
    AwaitDurable();
    Open();
    CPPUNIT_ASSERT(store_->stored().back() == Ended(3));
  }

  // Guards against a control process that ends with each endpoint that leaves
  // while its disk is full.
  void store_on_full_disk_answers_and_keeps_the_process() {
    Open();
    FillDisk();
    store_->Record(Ended(1));
    AwaitDurable();
    store_->Record(Ended(2));
    AwaitDurable();
  }

  // Guards against endings that a restart forgets because the disk was full
  // once, long before.
  void store_with_room_again_stores_all_current_endings() {
    Open();
    FillDisk();
    current_ = {Ended(1)};
    store_->Record(Ended(1));
    AwaitDurable();
    std::filesystem::remove(Segment());
    store_->Tick(steady_time(seconds(10)));
    store_->Tick(steady_time(seconds(12)));
    store_->Record(Ended(2));
    AwaitDurable();
    Open();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_->stored().size());
    CPPUNIT_ASSERT(store_->stored()[0] == Ended(1));
    CPPUNIT_ASSERT(store_->stored()[1] == Ended(2));
  }

  // Guards against a disk, and a start, that grow with all endings ever seen.
  void store_after_many_endings_keeps_only_current_ones() {
    constexpr int kEndings = 1'000;
    constexpr std::size_t kMaxStored = 200;
    Open();
    for (int i = 0; i < kEndings; ++i) {
      current_ = {Ended(i)};
      store_->Record(Ended(i));
    }
    AwaitDurable();
    Open();
    CPPUNIT_ASSERT_LESS(kMaxStored, store_->stored().size());
    CPPUNIT_ASSERT(store_->stored().back() == Ended(kEndings - 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ending_store_test);

}  // namespace marjoramsill
