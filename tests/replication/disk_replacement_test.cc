#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cluster.h"
#include "process/controller/document_group_settings.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the last fault within which the group must commit again.
constexpr seconds kRecoveryLimit{12};
/// 6 Mbit/s.
constexpr double kLinkBytesPerSecond = 750'000;
constexpr std::size_t kDocumentBytes = 8'000;

cluster_options Options(std::size_t vms, std::size_t tolerated_losses) {
  cluster_options options;
  options.vms = vms;
  options.voters = 3;
  options.domains = vms;
  options.found_once = true;
  options.segment_bytes = std::size_t{64} * 1024;
  options.settings = DocumentGroupSettings(tolerated_losses);
  return options;
}

cluster_options SlowLinkOptions() {
  cluster_options options = Options(3, 1);
  options.link_bytes_per_second = kLinkBytesPerSecond;
  return options;
}

void StartAll(cluster& c) {
  for (std::size_t i = 0; i < c.size(); ++i) c.Start(i);
}

void LosePowerOfAll(cluster& c) {
  for (std::size_t i = 0; i < c.size(); ++i) c.LosePower(i);
}

void ProposeDocuments(cluster& c, int count) {
  constexpr milliseconds kChangeInterval{200};
  for (int i = 0; i < count; ++i) {
    if (const auto leader = c.Leader()) {
      c.Propose(*leader, std::to_string(i) + std::string(kDocumentBytes, 'x'));
    }
    c.Run(kChangeInterval);
  }
}

bool Commits(cluster& c) {
  const std::uint64_t before = c.committed();
  return c.RunUntil(
      [&] {
        const auto leader = c.Leader();
        if (leader) c.Propose(*leader, "x");
        return c.committed() > before;
      },
      kRecoveryLimit);
}

bool IsVoter(const cluster& c, std::size_t vm) {
  const auto leader = c.Leader();
  if (!leader || c.group(vm) == nullptr) return false;
  return c.group(*leader)->node().configuration().IsVoter(
      c.group(vm)->node().self());
}

std::size_t VoterCount(const cluster& c) {
  const auto leader = c.Leader();
  return leader ? c.group(*leader)->node().configuration().voter_count() : 0;
}

}  // namespace

class disk_replacement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(disk_replacement_test);
  CPPUNIT_TEST(two_disks_lost_in_turn_after_many_changes_group_recovers);
  CPPUNIT_TEST(new_member_on_slow_link_is_sent_little_more_than_it_lacks);
  CPPUNIT_TEST(new_member_becomes_voter_only_with_all_committed_entries);
  CPPUNIT_TEST(new_member_under_constant_load_becomes_voter);
  CPPUNIT_TEST(document_larger_than_the_link_carries_in_a_second_is_committed);
  CPPUNIT_TEST(member_with_replaced_voters_in_its_log_votes_again);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a group that is lost although the second disk is lost long
  // after the first one was replaced.
  void two_disks_lost_in_turn_after_many_changes_group_recovers() {
    for (std::size_t first = 0; first < 3; ++first) {
      for (std::size_t second = 0; second < 3; ++second) {
        cluster c(SlowLinkOptions());
        c.Run(seconds(5));
        ProposeDocuments(c, 335);
        const std::size_t leader = *c.Leader();
        c.ReplaceDisk((leader + first) % 3);
        c.Run(seconds(1));
        StartAll(c);
        c.Run(seconds(10));
        c.ReplaceDisk((leader + second) % 3);
        LosePowerOfAll(c);
        c.Run(seconds(1));
        StartAll(c);
        CPPUNIT_ASSERT_MESSAGE(c.Describe(), Commits(c));
        CPPUNIT_ASSERT_EQUAL(std::string(), c.violation());
      }
    }
  }

  // Guards against repeated requests that fill the link of the leader, and
  // against old documents that are sent although a newer one replaces them.
  void new_member_on_slow_link_is_sent_little_more_than_it_lacks() {
    constexpr std::uint64_t kOtherTraffic = 100'000;
    cluster c(SlowLinkOptions());
    c.Run(seconds(5));
    ProposeDocuments(c, 335);
    const std::size_t replaced = (*c.Leader() + 1) % 3;
    c.ReplaceDisk(replaced);
    const std::uint64_t before = c.bytes();
    c.Start(replaced);
    CPPUNIT_ASSERT_MESSAGE(
        c.Describe(),
        c.RunUntil([&] { return IsVoter(c, replaced); }, seconds(3)));
    CPPUNIT_ASSERT_LESS(2 * kDocumentBytes + kOtherTraffic, c.bytes() - before);
  }

  // Guards against a member that counts as a voter while its disk lacks what
  // was acknowledged, however short the log is.
  void new_member_becomes_voter_only_with_all_committed_entries() {
    for (const int changes : {5, 20, 80, 200}) {
      cluster c(SlowLinkOptions());
      c.Run(seconds(5));
      ProposeDocuments(c, changes);
      const std::size_t replaced = (*c.Leader() + 1) % 3;
      c.ReplaceDisk(replaced);
      c.Run(milliseconds(500));
      const log_index committed = c.group(*c.Leader())->node().commit_index();
      c.Start(replaced);
      CPPUNIT_ASSERT(
          c.RunUntil([&] { return IsVoter(c, replaced); }, kRecoveryLimit));
      CPPUNIT_ASSERT(c.group(replaced)->node().last_index() >= committed);
      CPPUNIT_ASSERT(c.group(replaced)->node().is_start_checked());
    }
  }

  // Guards against a promotion that waits for an end of the changes.
  void new_member_under_constant_load_becomes_voter() {
    cluster c(Options(3, 1));
    c.Run(seconds(5));
    const std::size_t replaced = (*c.Leader() + 1) % 3;
    c.ReplaceDisk(replaced);
    c.Run(seconds(1));
    c.Start(replaced);
    constexpr int kProposals = 4'000;
    for (int i = 0; i < kProposals && !IsVoter(c, replaced); ++i) {
      if (const auto leader = c.Leader()) c.Propose(*leader, "command");
      c.Run(milliseconds(1));
    }
    CPPUNIT_ASSERT_MESSAGE(c.Describe(), IsVoter(c, replaced));
  }

  // Guards against a document that is never committed, because its request is
  // given up or repeated before it can have arrived.
  void document_larger_than_the_link_carries_in_a_second_is_committed() {
    constexpr std::size_t kLargeDocumentBytes = 1'500'000;
    cluster c(SlowLinkOptions());
    c.Run(seconds(5));
    const std::uint64_t before = c.committed();
    const std::uint64_t bytes = c.bytes();
    c.Propose(*c.Leader(), std::string(kLargeDocumentBytes, 'x'));
    CPPUNIT_ASSERT_MESSAGE(
        c.Describe(),
        c.RunUntil([&] { return c.committed() > before; }, seconds(6)));
    CPPUNIT_ASSERT_LESS(3 * std::uint64_t{kLargeDocumentBytes},
                        c.bytes() - bytes);
  }

  // Guards against a member that can never vote, because its log names voters
  // that were all replaced while it was down.
  void member_with_replaced_voters_in_its_log_votes_again() {
    constexpr std::size_t kDown = 4;
    cluster c(Options(5, 2));
    c.Run(seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, VoterCount(c));
    c.Kill(kDown);
    for (std::size_t vm = 0; vm < kDown; ++vm) {
      c.ReplaceDisk(vm);
      c.Start(vm);
      c.Run(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(c.Describe(), c.Leader().has_value());
    }
    c.Start(kDown);
    c.Run(seconds(4));
    CPPUNIT_ASSERT_MESSAGE(c.Describe(), IsVoter(c, kDown));
    c.ReplaceDisk(0);
    c.ReplaceDisk(1);
    LosePowerOfAll(c);
    StartAll(c);
    CPPUNIT_ASSERT_MESSAGE(c.Describe(), Commits(c));
    CPPUNIT_ASSERT_EQUAL(std::string(), c.violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(disk_replacement_test);

}  // namespace marjoramsill
