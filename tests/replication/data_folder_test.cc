#include "process/replication/data_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>

#include "process/replication/log_store.h"

namespace marjoramsill {

class data_folder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(data_folder_test);
  CPPUNIT_TEST(folder_second_open_is_locked);
  CPPUNIT_TEST(folder_reopened_keeps_its_disk_id);
  CPPUNIT_TEST(folder_groups_without_disk_id_are_refused);
  CPPUNIT_TEST(folder_damaged_disk_id_is_refused);
  CPPUNIT_TEST(store_on_files_survives_a_torn_tail);
  CPPUNIT_TEST(file_on_full_device_reports_disk_full);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    char name[] = "/tmp/marjoramsill-test-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(name) != nullptr);
    path_ = name;
  }
  void tearDown() override { std::filesystem::remove_all(path_); }

  // Guards against two processes that write to the same logs.
  void folder_second_open_is_locked() {
    auto first = data_folder::Open(path_, Random());
    CPPUNIT_ASSERT(first.has_value());
    auto second = data_folder::Open(path_, Random());
    CPPUNIT_ASSERT(second.error().kind == storage_error_kind::kLocked);
  }

  // Guards against a restart that turns a member into a new one.
  void folder_reopened_keeps_its_disk_id() {
    disk_id first;
    {
      auto opened = data_folder::Open(path_, Random());
      first = opened.value()->disk();
    }
    auto again = data_folder::Open(path_, [] { return 99U; });
    CPPUNIT_ASSERT(again.value()->disk() == first);
    CPPUNIT_ASSERT(first != disk_id());
  }

  // Guards against the use of stored logs under a new disk id.
  void folder_groups_without_disk_id_are_refused() {
    {
      auto opened = data_folder::Open(path_, Random());
      CPPUNIT_ASSERT(opened.value()->OpenGroup("control").has_value());
    }
    std::filesystem::remove(path_ + "/disk_id");
    auto again = data_folder::Open(path_, Random());
    CPPUNIT_ASSERT(again.error().kind == storage_error_kind::kNoDiskId);
  }

  // Guards against a disk id that is read from a damaged file.
  void folder_damaged_disk_id_is_refused() {
    for (const char* text : {"", "12", "0\n", "12\n3\n", "x\n"}) {
      std::ofstream(path_ + "/disk_id") << text;
      auto opened = data_folder::Open(path_, Random());
      CPPUNIT_ASSERT(opened.error().kind == storage_error_kind::kCorrupt);
    }
  }

  // Guards against different behaviour of real files and the in-memory disk.
  void store_on_files_survives_a_torn_tail() {
    auto folder = data_folder::Open(path_, Random());
    auto group = folder.value()->OpenGroup("control");
    WriteEntries(*group.value(), 2, 30);
    const std::string segment =
        path_ + "/group-control/segment-00000000000000000001";
    CPPUNIT_ASSERT(std::filesystem::exists(segment));
    const auto size = std::filesystem::file_size(segment);
    std::filesystem::resize_file(segment, size - 3);
    auto again = folder.value()->OpenGroup("control");
    auto state = log_store(*again.value()).Open();
    CPPUNIT_ASSERT(state.has_value());
    CPPUNIT_ASSERT(state.value().entries.back().index == log_index(29));
    WriteEntries(*again.value(), 30, 35);
    auto third = folder.value()->OpenGroup("control");
    state = log_store(*third.value()).Open();
    CPPUNIT_ASSERT(state.value().entries.back().index == log_index(35));
  }

  // Guards against a full disk that is reported as another failure.
  void file_on_full_device_reports_disk_full() {
    posix_folder devices("/dev");
    auto written = devices.Append("full", "x");
    CPPUNIT_ASSERT(written.error().kind == storage_error_kind::kDiskFull);
  }

 private:
  static random_source Random() {
    return [] { return std::uint64_t{12345}; };
  }

  static void WriteEntries(posix_folder& folder, std::uint64_t from,
                           std::uint64_t to) {
    log_store store(folder);
    CPPUNIT_ASSERT(store.Open().has_value());
    storage_writes writes;
    writes.stored_snapshot.emplace();
    writes.stored_snapshot->index = log_index(1);
    for (std::uint64_t i = from; i <= to; ++i) {
      writes.entries.push_back(
          {log_index(i), log_term(1), entry_kind::kCommand, "command"});
    }
    CPPUNIT_ASSERT(store.Write(writes).has_value());
    CPPUNIT_ASSERT(store.Sync().has_value());
  }

  std::string path_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(data_folder_test);

}  // namespace marjoramsill
