/* Preloaded library that makes system calls of its process fail with errors that Linux documents, and steps the process's wall
 * clock. The failing calls are drawn from SOAK_SEED. Other processes are not affected. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static unsigned long long random_state;
static unsigned one_in;
static double step_at, step_by, disk_from, disk_for;
static struct timespec started_at;

static double env_number(const char *name) {
    const char *text = getenv(name);
    return text ? atof(text) : 0.0;
}

static int (*real_clock)(clockid_t, struct timespec *);

__attribute__((constructor)) static void start(void) {
    const char *seed = getenv("SOAK_SEED");
    random_state = seed ? strtoull(seed, NULL, 10) * 2862933555777941757ULL + 3037000493ULL : 1;
    one_in = (unsigned)env_number("SOAK_ONE_IN");
    step_at = env_number("SOAK_STEP_AT");
    step_by = env_number("SOAK_STEP_BY");
    disk_from = env_number("SOAK_DISK_FROM");
    disk_for = env_number("SOAK_DISK_FOR");
    real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    real_clock(CLOCK_MONOTONIC, &started_at);
}

static double age(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - started_at.tv_sec) + (double)(now.tv_nsec - started_at.tv_nsec) / 1e9;
}

/* Returns true if this call fails. No call fails in the first half second of the process. */
static int should_fail(void) {
    if (one_in == 0 || age() < 0.5) return 0;
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % one_in == 0;
}

static int is_socket(int fd) {
    struct stat st;
    return fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode);
}

static int is_file(int fd) {
    struct stat st;
    return fd > 2 && fstat(fd, &st) == 0 && S_ISREG(st.st_mode);
}

static int disk_fails(int fd) {
    double now = age();
    return disk_for > 0 && now >= disk_from && now < disk_from + disk_for && is_file(fd);
}

int clock_gettime(clockid_t id, struct timespec *into) {
    if (!real_clock) real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock(id, into);
    if (result == 0 && id == CLOCK_REALTIME && step_by != 0 && age() >= step_at) into->tv_sec += (time_t)step_by;
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real) real = dlsym(RTLD_NEXT, "accept4");
    if (should_fail()) {
        int faults[] = {ENFILE, EMFILE, ENOBUFS, EINTR};
        errno = faults[random_state % 4];
        return -1;
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real) real = dlsym(RTLD_NEXT, "socket");
    if (should_fail()) {
        errno = random_state % 2 ? ENFILE : ENOBUFS;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real) real = dlsym(RTLD_NEXT, "connect");
    if (should_fail()) {
        int faults[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH};
        errno = faults[random_state % 4];
        return -1;
    }
    return real(fd, address, length);
}

/* recv and send are interrupted, or cut short to 3 bytes. */
ssize_t recv(int fd, void *into, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (!real) real = dlsym(RTLD_NEXT, "recv");
    if (should_fail()) {
        if (random_state % 2) {
            errno = EINTR;
            return -1;
        }
        if (size > 3) size = 3;
    }
    return real(fd, into, size, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    static ssize_t (*real)(int, const void *, size_t, int);
    if (!real) real = dlsym(RTLD_NEXT, "send");
    if (should_fail()) {
        if (random_state % 2) {
            errno = EINTR;
            return -1;
        }
        if (size > 3) size = 3;
    }
    return real(fd, from, size, flags);
}

ssize_t write(int fd, const void *from, size_t size) {
    static ssize_t (*real)(int, const void *, size_t);
    if (!real) real = dlsym(RTLD_NEXT, "write");
    if (disk_fails(fd)) {
        errno = ENOSPC;
        return -1;
    }
    if (one_in && size > 3 && is_socket(fd) && should_fail()) size = 3;
    return real(fd, from, size);
}

int fsync(int fd) {
    static int (*real)(int);
    if (!real) real = dlsym(RTLD_NEXT, "fsync");
    if (disk_fails(fd)) {
        errno = EIO;
        return -1;
    }
    return real(fd);
}

int fdatasync(int fd) {
    static int (*real)(int);
    if (!real) real = dlsym(RTLD_NEXT, "fdatasync");
    if (disk_fails(fd)) {
        errno = EIO;
        return -1;
    }
    return real(fd);
}
