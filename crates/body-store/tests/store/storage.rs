//! The storage folder and the segment file.

use dahliaspoke_body_store::storage::*;

#[test]
fn opening_a_folder_removes_leftovers_unless_another_process_has_it_locked() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("body-4711-0"), b"left behind").expect("written");
    let opened = StorageFolder::open(folder.path()).expect("a folder");
    let names = || -> Vec<String> {
        let entries = std::fs::read_dir(folder.path()).expect("readable");
        entries.map(|e| e.expect("readable").file_name().to_string_lossy().into_owned()).collect()
    };
    assert_eq!(names(), ["bodies.lock"]);
    let segment = SegmentFile::open(opened).expect("a file");
    segment.write(1, 3, b"abc").expect("written");
    let mut buffer = [0; 3];
    segment.read(1, 3, &mut buffer).expect("read");
    assert_eq!((&buffer, names()), (b"abc", vec!["bodies.lock".into()]));
    // A second process must not remove a file that the first has created and not unlinked yet.
    std::fs::write(folder.path().join("body-4712-0"), b"").expect("written");
    StorageFolder::open(folder.path()).expect("opened without the lock");
    assert_eq!(names().len(), 2);
}
