/* Makes system calls of one process fail for a moment, as Linux documents, and steps its wall clock. Loaded before the C library;
 * what it does is drawn from SOAK_SEED. Nothing is touched but calls of the process itself. */
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

static unsigned long long state;
static unsigned one_in;
static double step_at, step_by, disk_from, disk_for;
static struct timespec begun;

static double number(const char *name) {
    const char *text = getenv(name);
    return text ? atof(text) : 0.0;
}

static int (*real_clock)(clockid_t, struct timespec *);

__attribute__((constructor)) static void start(void) {
    const char *seed = getenv("SOAK_SEED");
    state = seed ? strtoull(seed, NULL, 10) * 2862933555777941757ULL + 3037000493ULL : 1;
    one_in = (unsigned)number("SOAK_ONE_IN");
    step_at = number("SOAK_STEP_AT");
    step_by = number("SOAK_STEP_BY");
    disk_from = number("SOAK_DISK_FROM");
    disk_for = number("SOAK_DISK_FOR");
    real_clock = dlsym(RTLD_NEXT, "clock_gettime");
    real_clock(CLOCK_MONOTONIC, &begun);
}

static double age(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - begun.tv_sec) + (double)(now.tv_nsec - begun.tv_nsec) / 1e9;
}

/* Whether this call is one of those that fail. A start is left alone. */
static int fails(void) {
    if (one_in == 0 || age() < 0.5) return 0;
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (state >> 33) % one_in == 0;
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
    if (fails()) {
        int faults[] = {ENFILE, EMFILE, ENOBUFS, EINTR};
        errno = faults[state % 4];
        return -1;
    }
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*real)(int, int, int);
    if (!real) real = dlsym(RTLD_NEXT, "socket");
    if (fails()) {
        errno = state % 2 ? ENFILE : ENOBUFS;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real) real = dlsym(RTLD_NEXT, "connect");
    if (fails()) {
        int faults[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH};
        errno = faults[state % 4];
        return -1;
    }
    return real(fd, address, length);
}

/* Short reads and writes, interrupted ones. */
ssize_t recv(int fd, void *into, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (!real) real = dlsym(RTLD_NEXT, "recv");
    if (fails()) {
        if (state % 2) {
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
    if (fails()) {
        if (state % 2) {
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
    if (one_in && size > 3 && is_socket(fd) && fails()) size = 3;
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
